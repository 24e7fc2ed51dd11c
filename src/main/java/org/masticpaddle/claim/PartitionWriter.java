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
    private final Deque<Item> queue = new ArrayDeque<>();
    private List<Item> sent = List.of();
    private long sequence;
    private long startedMillis;
    private long pausedUntilMillis = Long.MIN_VALUE;

    PartitionWriter(ClaimSettings settings) {
        this.settings = settings;
    }

    /** One append to the log. */
    record Append(long sequence, List<byte[]> records) {}

    private record Item(byte[] bytes, BooleanSupplier wanted, Consumer<Boolean> answer) {}

    /** Queues a record. It is appended while {@code wanted}; {@code answer} receives whether it was acknowledged. */
    void add(ClaimRecord record, BooleanSupplier wanted, Consumer<Boolean> answer) {
        queue.add(new Item(record.encode(), wanted, answer));
    }

    int size() {
        return queue.size() + sent.size();
    }

    /** Returns the append to start now, if one is due. */
    Optional<Append> next(long nowMillis) {
        if (!sent.isEmpty() && nowMillis - startedMillis >= settings.logTimeoutMillis()) {
            done(sequence, false, nowMillis);
        }
        if (!sent.isEmpty() || queue.isEmpty() || nowMillis < pausedUntilMillis) {
            return Optional.empty();
        }
        final List<Item> batch = new ArrayList<>();
        while (!queue.isEmpty() && batch.size() < settings.maxBatchRecords()) {
            final Item item = queue.poll();
            if (item.wanted.getAsBoolean()) {
                batch.add(item);
            } else {
                item.answer.accept(false);
            }
        }
        if (batch.isEmpty()) {
            return Optional.empty();
        }
        sent = batch;
        sequence++;
        startedMillis = nowMillis;
        pausedUntilMillis = nowMillis + settings.batchIntervalMillis();
        return Optional.of(new Append(sequence, batch.stream().map(Item::bytes).toList()));
    }

    /** Ends an append. A failed one is repeated whole, since it may or may not have taken effect. */
    void done(long appendSequence, boolean acknowledged, long nowMillis) {
        if (sent.isEmpty() || appendSequence != sequence) {
            return;
        }
        final List<Item> batch = sent;
        sent = List.of();
        if (acknowledged) {
            batch.forEach(item -> item.answer.accept(true));
            return;
        }
        for (int index = batch.size() - 1; index >= 0; index--) {
            queue.addFirst(batch.get(index));
        }
        pausedUntilMillis = nowMillis + settings.backoffMillis();
    }

    /** Drops the records that are no longer wanted, so that the queue stays bounded while no append succeeds. */
    void prune() {
        drop(item -> !item.wanted.getAsBoolean());
    }

    /** Gives up all records that wait. */
    void clear() {
        drop(item -> true);
    }

    private void drop(Predicate<Item> condition) {
        final List<Item> dropped = queue.stream().filter(condition).toList();
        queue.removeAll(Set.copyOf(dropped));
        dropped.forEach(item -> item.answer.accept(false));
    }
}
