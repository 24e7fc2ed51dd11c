package org.masticpaddle.billing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.masticpaddle.wire.Charge;
import org.masticpaddle.wire.Json;

/**
 * Buffer of the charges that one process has to append to the log or holds until their entry acknowledges them. A
 * charge stays in the buffer until an append of it is acknowledged, or until its entry reports that it has appended the
 * charge. Appending a charge twice is harmless, as readers count each identity once. Not thread-safe.
 */
public final class ChargeBuffer {
    private final ChargeSettings settings;
    private final Deque<PendingCharge> queue = new ArrayDeque<>();
    private final Map<String, HeldCharge> heldByAttempt = new LinkedHashMap<>();
    private List<PendingCharge> inFlight = List.of();
    private long sequence;
    private long appendStartedMillis;
    private long nextAppendMillis = Long.MIN_VALUE;
    private boolean lastAppendFailed;
    private boolean flushing;

    /**
     * Creates an empty buffer.
     *
     * @param settings limits, intervals and timeouts
     */
    public ChargeBuffer(ChargeSettings settings) {
        this.settings = settings;
    }

    /**
     * One append to the log.
     *
     * @param sequence sequence number, to be passed to {@link ChargeBuffer#completeAppend(long, boolean, long)}
     * @param records encoded charges
     */
    public record Append(long sequence, List<byte[]> records) {}

    private record PendingCharge(Charge charge, Runnable onAcknowledged) {}

    private record HeldCharge(Charge charge, long dueMillis) {}

    /**
     * Queues a charge.
     *
     * @param charge charge to append
     * @param onAcknowledged called when the log has acknowledged the charge
     * @param nowMillis current time in milliseconds since 1970
     * @return {@code false} if the buffer is full; the new charge is then rejected and the older ones are kept
     */
    public boolean add(Charge charge, Runnable onAcknowledged, long nowMillis) {
        if (size() >= settings.maxCharges()) {
            return false;
        }
        if (queue.isEmpty() && inFlight.isEmpty() && !lastAppendFailed) {
            nextAppendMillis = Math.max(nextAppendMillis, nowMillis + settings.batchIntervalMillis());
        }
        queue.add(new PendingCharge(charge, onAcknowledged));
        return true;
    }

    /**
     * Holds a charge, which is queued only if it is not discarded within the hold time.
     *
     * @param charge charge to hold
     * @param nowMillis current time in milliseconds since 1970
     * @return {@code false} if the buffer is full
     */
    public boolean hold(Charge charge, long nowMillis) {
        if (size() >= settings.maxCharges()) {
            return false;
        }
        heldByAttempt.putIfAbsent(charge.attemptId(), new HeldCharge(charge, nowMillis + settings.holdMillis()));
        return true;
    }

    /**
     * Discards a held charge, as its entry has appended it.
     *
     * @param attemptId attempt of the charge
     */
    public void discardHeld(String attemptId) {
        heldByAttempt.remove(attemptId);
    }

    /** Makes all charges due at once, including held ones and those added later. */
    public void flush() {
        flushing = true;
    }

    /**
     * Returns the number of charges in the buffer: queued, in flight or held.
     *
     * @return number of charges
     */
    public int size() {
        return queue.size() + inFlight.size() + heldByAttempt.size();
    }

    /**
     * Returns the append to start now, if one is due.
     *
     * @param nowMillis current time in milliseconds since 1970
     * @return the append, whose result must be reported to {@link #completeAppend(long, boolean, long)}; empty if none
     *     is due
     */
    public Optional<Append> nextAppend(long nowMillis) {
        if (!inFlight.isEmpty() && nowMillis - appendStartedMillis >= settings.appendTimeoutMillis()) {
            completeAppend(sequence, false, nowMillis);
        }
        queueDueCharges(nowMillis);
        final boolean skipInterval = !lastAppendFailed && (flushing || queue.size() >= settings.maxBatchCharges());
        if (!inFlight.isEmpty() || queue.isEmpty() || !skipInterval && nowMillis < nextAppendMillis) {
            return Optional.empty();
        }
        final List<PendingCharge> batch = new ArrayList<>();
        while (!queue.isEmpty() && batch.size() < settings.maxBatchCharges()) {
            batch.add(queue.poll());
        }
        inFlight = batch;
        sequence++;
        appendStartedMillis = nowMillis;
        lastAppendFailed = false;
        nextAppendMillis = nowMillis + settings.batchIntervalMillis();
        return Optional.of(new Append(
                sequence,
                batch.stream().map(pending -> Json.encode(pending.charge)).toList()));
    }

    /**
     * Completes an append. All charges of a failed append are queued again, since it may or may not have taken effect.
     *
     * @param appendSequence sequence number of the append; ignored if it is not the append in flight
     * @param acknowledged whether the log acknowledged the append
     * @param nowMillis current time in milliseconds since 1970
     */
    public void completeAppend(long appendSequence, boolean acknowledged, long nowMillis) {
        if (inFlight.isEmpty() || appendSequence != sequence) {
            return;
        }
        final List<PendingCharge> batch = inFlight;
        inFlight = List.of();
        if (acknowledged) {
            batch.forEach(pending -> pending.onAcknowledged.run());
            return;
        }
        lastAppendFailed = true;
        nextAppendMillis = nowMillis + settings.backoffMillis();
        for (int index = batch.size() - 1; index >= 0; index--) {
            queue.addFirst(batch.get(index));
        }
    }

    /** Queues the held charges whose hold time has passed. They are held in the order of their due times. */
    private void queueDueCharges(long nowMillis) {
        final List<HeldCharge> dueCharges = heldByAttempt.values().stream()
                .takeWhile(heldCharge -> flushing || nowMillis >= heldCharge.dueMillis)
                .toList();
        for (final HeldCharge heldCharge : dueCharges) {
            heldByAttempt.remove(heldCharge.charge.attemptId());
            queue.add(new PendingCharge(heldCharge.charge, () -> {}));
        }
    }
}
