package org.masticpaddle.claim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Queue of the records to append to one partition. At most one append is in flight. A record stays queued until an
 * append of it is acknowledged or it is no longer needed. Appending a record twice is harmless, as applying it again
 * has no effect. Not thread-safe.
 */
final class PartitionWriter {
    private final ClaimSettings settings;
    private final Deque<PendingRecord> queue = new ArrayDeque<>();
    private List<PendingRecord> inFlight = List.of();
    private long sequence;
    private long appendStartedMillis;
    private long pausedUntilMillis = Long.MIN_VALUE;

    PartitionWriter(ClaimSettings settings) {
        this.settings = settings;
    }

    /** One append to the log, whose result is reported to {@link #completeAppend(long, boolean, long)}. */
    record Append(long sequence, List<byte[]> records) {}

    private record PendingRecord(byte[] bytes, BooleanSupplier needed, Consumer<Boolean> callback) {}

    /**
     * Queues a record.
     *
     * @param record record to append
     * @param needed whether the record still has to be appended; checked before each append
     * @param callback receives whether an append of the record was acknowledged
     */
    void add(ClaimRecord record, BooleanSupplier needed, Consumer<Boolean> callback) {
        queue.add(new PendingRecord(record.encode(), needed, callback));
    }

    int size() {
        return queue.size() + inFlight.size();
    }

    /** Returns the append to start now, if one is due. */
    Optional<Append> nextAppend(long nowMillis) {
        if (!inFlight.isEmpty() && nowMillis - appendStartedMillis >= settings.logTimeoutMillis()) {
            completeAppend(sequence, false, nowMillis);
        }
        if (!inFlight.isEmpty() || queue.isEmpty() || nowMillis < pausedUntilMillis) {
            return Optional.empty();
        }
        final List<PendingRecord> batch = new ArrayList<>();
        while (!queue.isEmpty() && batch.size() < settings.maxBatchRecords()) {
            final PendingRecord pending = queue.poll();
            if (pending.needed.getAsBoolean()) {
                batch.add(pending);
            } else {
                pending.callback.accept(false);
            }
        }
        if (batch.isEmpty()) {
            return Optional.empty();
        }
        inFlight = batch;
        sequence++;
        appendStartedMillis = nowMillis;
        pausedUntilMillis = nowMillis + settings.batchIntervalMillis();
        return Optional.of(
                new Append(sequence, batch.stream().map(PendingRecord::bytes).toList()));
    }

    /**
     * Completes an append. All records of a failed append are queued again, since it may or may not have taken effect.
     */
    void completeAppend(long appendSequence, boolean acknowledged, long nowMillis) {
        if (inFlight.isEmpty() || appendSequence != sequence) {
            return;
        }
        final List<PendingRecord> batch = inFlight;
        inFlight = List.of();
        if (acknowledged) {
            batch.forEach(pending -> pending.callback.accept(true));
            return;
        }
        for (int index = batch.size() - 1; index >= 0; index--) {
            queue.addFirst(batch.get(index));
        }
        pausedUntilMillis = nowMillis + settings.backoffMillis();
    }

    /** Removes the records that are no longer needed, so that the queue stays bounded while no append succeeds. */
    void removeUnneeded() {
        remove(pending -> !pending.needed.getAsBoolean());
    }

    /** Removes all queued records and reports them as not acknowledged. */
    void clear() {
        remove(pending -> true);
    }

    private void remove(Predicate<PendingRecord> condition) {
        final List<PendingRecord> removed = queue.stream().filter(condition).toList();
        queue.removeAll(Set.copyOf(removed));
        removed.forEach(pending -> pending.callback.accept(false));
    }
}
