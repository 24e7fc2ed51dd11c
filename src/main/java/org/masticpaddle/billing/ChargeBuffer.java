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
    private final Deque<Item> queue = new ArrayDeque<>();
    private final Map<String, Held> held = new LinkedHashMap<>();
    private List<Item> sent = List.of();
    private long sequence;
    private long startedMillis;
    private long nextMillis = Long.MIN_VALUE;
    private boolean failed;
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

    private record Item(Charge charge, Runnable acknowledged) {}

    private record Held(Charge charge, long dueMillis) {}

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
        if (queue.isEmpty() && sent.isEmpty() && !failed) {
            nextMillis = Math.max(nextMillis, nowMillis + settings.batchIntervalMillis());
        }
        queue.add(new Item(charge, acknowledged));
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
        held.putIfAbsent(charge.attemptId(), new Held(charge, nowMillis + settings.holdMillis()));
        return true;
    }

    /**
     * Drops the held charge of an attempt that the entry has appended.
     *
     * @param attemptId attempt of the charge
     */
    public void settled(String attemptId) {
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
        return queue.size() + sent.size() + held.size();
    }

    /**
     * Returns the append to start now, if one is due.
     *
     * @param nowMillis current time in milliseconds since 1970
     * @return the append; its end is to be reported with {@link #done(long, boolean, long)}
     */
    public Optional<Append> next(long nowMillis) {
        if (!sent.isEmpty() && nowMillis - startedMillis >= settings.appendTimeoutMillis()) {
            done(sequence, false, nowMillis);
        }
        takeHeld(nowMillis);
        final boolean hurry = !failed && (flushing || queue.size() >= settings.maxBatchCharges());
        if (!sent.isEmpty() || queue.isEmpty() || !hurry && nowMillis < nextMillis) {
            return Optional.empty();
        }
        final List<Item> batch = new ArrayList<>();
        while (!queue.isEmpty() && batch.size() < settings.maxBatchCharges()) {
            batch.add(queue.poll());
        }
        sent = batch;
        sequence++;
        startedMillis = nowMillis;
        failed = false;
        nextMillis = nowMillis + settings.batchIntervalMillis();
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
    public void done(long appendSequence, boolean acknowledged, long nowMillis) {
        if (sent.isEmpty() || appendSequence != sequence) {
            return;
        }
        final List<Item> batch = sent;
        sent = List.of();
        if (acknowledged) {
            batch.forEach(item -> item.acknowledged.run());
            return;
        }
        failed = true;
        nextMillis = nowMillis + settings.backoffMillis();
        for (int index = batch.size() - 1; index >= 0; index--) {
            queue.addFirst(batch.get(index));
        }
    }

    /** The held charges are in the order of their due times. */
    private void takeHeld(long nowMillis) {
        final List<Held> due = held.values().stream()
                .takeWhile(item -> flushing || nowMillis >= item.dueMillis)
                .toList();
        for (final Held item : due) {
            held.remove(item.charge.attemptId());
            queue.add(new Item(item.charge, () -> {}));
        }
    }
}
