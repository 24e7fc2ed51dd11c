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
 * Queue of the records that wait to be appended to one partition. It has one append under way at a time and keeps a
 * record until an append of it is acknowledged or it is no longer wanted; a repeated append is harmless to the fold. Not
 * thread-safe.
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

    /** One append to the log. */
    record Append(long sequence, List<byte[]> records) {}

    private record PendingRecord(byte[] bytes, BooleanSupplier needed, Consumer<Boolean> callback) {}

    /** Queues a record. It is appended while {@code wanted}; {@code answer} receives whether it was acknowledged. */
    void add(ClaimRecord record, BooleanSupplier wanted, Consumer<Boolean> answer) {
        queue.add(new PendingRecord(record.encode(), wanted, answer));
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
            final PendingRecord item = queue.poll();
            if (item.needed.getAsBoolean()) {
                batch.add(item);
            } else {
                item.callback.accept(false);
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

    /** Ends an append. A failed one is repeated whole, since it may or may not have taken effect. */
    void completeAppend(long appendSequence, boolean acknowledged, long nowMillis) {
        if (inFlight.isEmpty() || appendSequence != sequence) {
            return;
        }
        final List<PendingRecord> batch = inFlight;
        inFlight = List.of();
        if (acknowledged) {
            batch.forEach(item -> item.callback.accept(true));
            return;
        }
        for (int index = batch.size() - 1; index >= 0; index--) {
            queue.addFirst(batch.get(index));
        }
        pausedUntilMillis = nowMillis + settings.backoffMillis();
    }

    /** Drops the records that are no longer wanted, so that the queue stays bounded while no append succeeds. */
    void removeUnneeded() {
        remove(item -> !item.needed.getAsBoolean());
    }

    /** Gives up all records that wait. */
    void clear() {
        remove(item -> true);
    }

    private void remove(Predicate<PendingRecord> condition) {
        final List<PendingRecord> dropped = queue.stream().filter(condition).toList();
        queue.removeAll(Set.copyOf(dropped));
        dropped.forEach(item -> item.callback.accept(false));
    }
}
