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
 * In-memory log with one keyed stream. Holds a read until there is a record or its wait is over; can simulate an outage, slow
 * responses, requests that get no response until their timeout and a restore from a copy. Not thread-safe.
 */
public final class FakeSharedLog implements SharedLog {
    /** Time between an append and the response to a read that waits for it. */
    private static final long RESPONSE_MILLIS = 5;
    /** Time after the wait of a read until a request without a response fails. */
    private static final long TIMEOUT_MILLIS = 700;

    private final FakeScheduler scheduler;
    private final List<KeyedRecord> records = new ArrayList<>();
    private final List<HeldRead> heldReads = new ArrayList<>();
    private long earliestOffset;
    private boolean unavailable;
    private boolean silent;
    private long slowResponseMillis;
    private int requests;
    private boolean namesEra;
    private long era = 1;

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

    /**
     * Sets the time that the response to a read takes that the log does not hold.
     *
     * @param millis delay in milliseconds, zero to respond at once
     */
    public void setSlowResponse(long millis) {
        slowResponseMillis = millis;
    }

    /**
     * Starts or ends a time in which requests get no response, those that the log holds included.
     *
     * @param value whether requests get no response
     */
    public void setSilent(boolean value) {
        silent = value;
        if (silent) {
            heldReads.forEach(HeldRead::lose);
            heldReads.clear();
        }
    }

    /** Compacts the stream: deletes all records except the newest of each key. */
    public void compact() {
        earliestOffset = records.size();
    }

    /** Makes responses name the era of the log. */
    public void nameEras() {
        namesEra = true;
    }

    /**
     * Restores the log from a copy that holds its first records. Reads that it holds stay open.
     *
     * @param recordCount number of records of the copy; a larger number than there are loses nothing
     */
    public void restore(int recordCount) {
        if (recordCount < records.size()) {
            records.subList(recordCount, records.size()).clear();
            earliestOffset = Math.min(earliestOffset, recordCount);
        }
        era++;
    }

    /**
     * Returns the number of records.
     *
     * @return records that were appended and not lost by a restore, compacted ones included
     */
    public int recordCount() {
        return records.size();
    }

    @Override
    public long era() {
        return namesEra ? era : NO_ERA;
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
        if (silent) {
            return timeout(Duration.ZERO);
        }
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
        return slowResponse(
                new NewestPage(List.copyOf(newest.tailMap(after, false).values()), false, records.size(), era()));
    }

    @Override
    public CompletableFuture<LogBatch> read(LogStream stream, long from, Duration wait) {
        requests++;
        if (silent) {
            return timeout(wait);
        }
        if (unavailable) {
            return failed(SharedLogException.Kind.REJECTED);
        }
        if (from < earliestOffset || from > records.size()) {
            return failed(SharedLogException.Kind.HISTORY_LOST);
        }
        if (from < records.size() || wait.isZero()) {
            return slowResponse(batch(from));
        }
        final HeldRead read =
                new HeldRead(from, scheduler.nanos() / 1_000_000L + wait.toMillis(), new CompletableFuture<>());
        heldReads.add(read);
        scheduler.schedule(wait.toMillis(), read::complete);
        return read.response;
    }

    private <T> CompletableFuture<T> slowResponse(T value) {
        final CompletableFuture<T> response = new CompletableFuture<>();
        if (slowResponseMillis == 0) {
            response.complete(value);
        } else {
            scheduler.schedule(slowResponseMillis, () -> response.complete(value));
        }
        return response;
    }

    private <T> CompletableFuture<T> timeout(Duration wait) {
        final CompletableFuture<T> response = new CompletableFuture<>();
        scheduler.schedule(
                wait.toMillis() + TIMEOUT_MILLIS,
                () -> response.completeExceptionally(
                        new SharedLogException(SharedLogException.Kind.UNKNOWN, "timeout", null)));
        return response;
    }

    private LogBatch batch(long from) {
        return new LogBatch(
                List.copyOf(records.subList((int) Math.min(from, records.size()), records.size())),
                Math.max(from, records.size()),
                records.size(),
                era());
    }

    @Override
    public CompletableFuture<Long> append(LogStream stream, String key, byte[] value, OptionalLong expectedOffset) {
        requests++;
        if (silent) {
            return timeout(Duration.ZERO);
        }
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
        private final long endMillis;
        private final CompletableFuture<LogBatch> response;
        private boolean lost;

        HeldRead(long from, long endMillis, CompletableFuture<LogBatch> response) {
            this.from = from;
            this.endMillis = endMillis;
            this.response = response;
        }

        void complete() {
            if (!lost) {
                response.complete(batch(from));
            }
        }

        /** Leaves the read without a response until its timeout. */
        void lose() {
            lost = true;
            scheduler.schedule(
                    Math.max(0, endMillis - scheduler.nanos() / 1_000_000L) + TIMEOUT_MILLIS,
                    () -> response.completeExceptionally(
                            new SharedLogException(SharedLogException.Kind.UNKNOWN, "timeout", null)));
        }
    }

    private static <T> CompletableFuture<T> failed(SharedLogException.Kind kind) {
        return CompletableFuture.failedFuture(new SharedLogException(kind, kind.toString(), null));
    }
}
