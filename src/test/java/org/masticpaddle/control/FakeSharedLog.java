package org.masticpaddle.control;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import org.masticpaddle.kernel.FakeScheduler;

/**
 * In-memory log with one keyed stream. Holds a read until there is a record or its wait is over; can simulate an outage. Not
 * thread-safe.
 */
public final class FakeSharedLog implements SharedLog {
    /** Time between an append and the response to a read that waits for it. */
    private static final long RESPONSE_MILLIS = 5;

    private final FakeScheduler scheduler;
    private final List<KeyedRecord> records = new ArrayList<>();
    private final List<HeldRead> heldReads = new ArrayList<>();
    private long earliestOffset;
    private boolean unavailable;
    private int requests;

    /**
     * Creates an empty log.
     *
     * @param scheduler simulated clock and timers
     */
    public FakeSharedLog(FakeScheduler scheduler) {
        this.scheduler = scheduler;
    }

    /**
     * Appends a record of another writer.
     *
     * @param key key of the record
     * @param value value of the key, empty for a tombstone
     */
    public void put(String key, String value) {
        add(key, value.getBytes(StandardCharsets.UTF_8));
    }

    private void add(String key, byte[] value) {
        records.add(new KeyedRecord(records.size(), key, value));
        final List<HeldRead> reads = List.copyOf(heldReads);
        heldReads.clear();
        reads.forEach(read -> scheduler.schedule(RESPONSE_MILLIS, read::complete));
    }

    /**
     * Starts or ends an outage.
     *
     * @param value whether requests fail
     */
    public void setUnavailable(boolean value) {
        unavailable = value;
    }

    /** Compacts the stream: deletes all records except the newest of each key. */
    public void compact() {
        earliestOffset = records.size();
    }

    /**
     * Returns the number of requests.
     *
     * @return number of requests received, failed ones included
     */
    public int requests() {
        return requests;
    }

    @Override
    public CompletableFuture<NewestPage> newest(LogStream stream, String after) {
        requests++;
        if (unavailable) {
            return failed(SharedLogException.Kind.REJECTED);
        }
        final TreeMap<String, KeyedRecord> newest = new TreeMap<>();
        records.forEach(keyedRecord -> {
            if (keyedRecord.tombstone()) {
                newest.remove(keyedRecord.key());
            } else {
                newest.put(keyedRecord.key(), keyedRecord);
            }
        });
        return CompletableFuture.completedFuture(
                new NewestPage(List.copyOf(newest.tailMap(after, false).values()), false, records.size()));
    }

    @Override
    public CompletableFuture<LogBatch> read(LogStream stream, long from, Duration wait) {
        requests++;
        if (unavailable) {
            return failed(SharedLogException.Kind.REJECTED);
        }
        if (from < earliestOffset) {
            return failed(SharedLogException.Kind.HISTORY_LOST);
        }
        if (from < records.size() || wait.isZero()) {
            return CompletableFuture.completedFuture(batch(from));
        }
        final HeldRead read = new HeldRead(from, new CompletableFuture<>());
        heldReads.add(read);
        scheduler.schedule(wait.toMillis(), read::complete);
        return read.response;
    }

    private LogBatch batch(long from) {
        return new LogBatch(records.subList((int) from, records.size()), records.size(), records.size());
    }

    @Override
    public CompletableFuture<Long> append(LogStream stream, String key, byte[] value, OptionalLong expectedOffset) {
        requests++;
        if (unavailable) {
            return failed(SharedLogException.Kind.REJECTED);
        }
        if (expectedOffset.isPresent() && expectedOffset.getAsLong() != records.size()) {
            return failed(SharedLogException.Kind.OFFSET_MISMATCH);
        }
        add(key, value);
        return CompletableFuture.completedFuture((long) records.size() - 1);
    }

    /** Read that waits for a record. */
    private final class HeldRead {
        private final long from;
        private final CompletableFuture<LogBatch> response;

        HeldRead(long from, CompletableFuture<LogBatch> response) {
            this.from = from;
            this.response = response;
        }

        void complete() {
            response.complete(batch(from));
        }
    }

    private static <T> CompletableFuture<T> failed(SharedLogException.Kind kind) {
        return CompletableFuture.failedFuture(new SharedLogException(kind, kind.toString(), null));
    }
}
