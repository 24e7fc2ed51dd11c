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
 * Charges that wait for an append or for the entry's word. A charge stays until its append is acknowledged or its entry
 * has settled it; a repeated append is harmless to the reader. Not thread-safe.
 */
public final class ChargeBuffer {
    private final ChargeSettings settings;
    private final Deque<PendingCharge> queue = new ArrayDeque<>();
    private final Map<String, HeldCharge> held = new LinkedHashMap<>();
    private List<PendingCharge> inFlight = List.of();
    private long sequence;
    private long appendStartedMillis;
    private long nextAppendMillis = Long.MIN_VALUE;
    private boolean lastAppendFailed;
    private boolean flushing;

    /**
     * Creates an empty buffer.
     *
     * @param settings bounds
     */
    public ChargeBuffer(ChargeSettings settings) {
        this.settings = settings;
    }

    /**
     * One append to the log.
     *
     * @param sequence number to report its end with
     * @param records the records
     */
    public record Append(long sequence, List<byte[]> records) {}

    private record PendingCharge(Charge charge, Runnable acknowledged) {}

    private record HeldCharge(Charge charge, long dueMillis) {}

    /**
     * Queues a charge.
     *
     * @param charge the charge
     * @param acknowledged called once the log has acknowledged the charge
     * @param nowMillis current time in milliseconds since 1970
     * @return {@code false} if the buffer is full: the newest is refused, the oldest are kept
     */
    public boolean add(Charge charge, Runnable acknowledged, long nowMillis) {
        if (size() >= settings.maxCharges()) {
            return false;
        }
        if (queue.isEmpty() && inFlight.isEmpty() && !lastAppendFailed) {
            nextAppendMillis = Math.max(nextAppendMillis, nowMillis + settings.batchIntervalMillis());
        }
        queue.add(new PendingCharge(charge, acknowledged));
        return true;
    }

    /**
     * Holds a charge back, to be queued only if it is not settled in time.
     *
     * @param charge the charge
     * @param nowMillis current time in milliseconds since 1970
     * @return {@code false} if the buffer is full
     */
    public boolean hold(Charge charge, long nowMillis) {
        if (size() >= settings.maxCharges()) {
            return false;
        }
        held.putIfAbsent(charge.attemptId(), new HeldCharge(charge, nowMillis + settings.holdMillis()));
        return true;
    }

    /**
     * Drops the held charge of an attempt that the entry has appended.
     *
     * @param attemptId attempt of the charge
     */
    public void discardHeld(String attemptId) {
        held.remove(attemptId);
    }

    /** Makes every charge due now. */
    public void flush() {
        flushing = true;
    }

    /**
     * Returns the number of charges that wait or are held.
     *
     * @return number of charges
     */
    public int size() {
        return queue.size() + inFlight.size() + held.size();
    }

    /**
     * Returns the append to start now, if one is due.
     *
     * @param nowMillis current time in milliseconds since 1970
     * @return the append; its end is to be reported with {@link #completeAppend(long, boolean, long)}
     */
    public Optional<Append> nextAppend(long nowMillis) {
        if (!inFlight.isEmpty() && nowMillis - appendStartedMillis >= settings.appendTimeoutMillis()) {
            completeAppend(sequence, false, nowMillis);
        }
        queueDueCharges(nowMillis);
        final boolean hurry = !lastAppendFailed && (flushing || queue.size() >= settings.maxBatchCharges());
        if (!inFlight.isEmpty() || queue.isEmpty() || !hurry && nowMillis < nextAppendMillis) {
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
                sequence, batch.stream().map(item -> Json.encode(item.charge)).toList()));
    }

    /**
     * Ends an append. A failed one is repeated whole, since it may or may not have taken effect.
     *
     * @param appendSequence number of the append; another than the last is ignored
     * @param acknowledged whether the log acknowledged it
     * @param nowMillis current time in milliseconds since 1970
     */
    public void completeAppend(long appendSequence, boolean acknowledged, long nowMillis) {
        if (inFlight.isEmpty() || appendSequence != sequence) {
            return;
        }
        final List<PendingCharge> batch = inFlight;
        inFlight = List.of();
        if (acknowledged) {
            batch.forEach(item -> item.acknowledged.run());
            return;
        }
        lastAppendFailed = true;
        nextAppendMillis = nowMillis + settings.backoffMillis();
        for (int index = batch.size() - 1; index >= 0; index--) {
            queue.addFirst(batch.get(index));
        }
    }

    /** The held charges are in the order of their due times. */
    private void queueDueCharges(long nowMillis) {
        final List<HeldCharge> due = held.values().stream()
                .takeWhile(item -> flushing || nowMillis >= item.dueMillis)
                .toList();
        for (final HeldCharge item : due) {
            held.remove(item.charge.attemptId());
            queue.add(new PendingCharge(item.charge, () -> {}));
        }
    }
}
