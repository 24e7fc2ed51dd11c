package org.masticpaddle.control;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import org.masticpaddle.kernel.FakeScheduler;

/** One keyed stream in memory that answers reads after their wait and fails on demand. */
public final class FakeSharedLog implements SharedLog {
    private final FakeScheduler scheduler;
    private final List<KeyedRecord> records = new ArrayList<>();
    private long first;
    private boolean setUnavailable;
    private int calls;

    /**
     * Creates an empty log.
     *
     * @param scheduler time of the test
     */
    public FakeSharedLog(FakeScheduler scheduler) {
        this.scheduler = scheduler;
    }

    /**
     * Appends a record as another writer would.
     *
     * @param key the key
     * @param value the value, empty text to drop the key
     */
    public void put(String key, String value) {
        records.add(new KeyedRecord(records.size(), key, value.getBytes(StandardCharsets.UTF_8)));
    }

    /**
     * Begins or ends an outage.
     *
     * @param now whether calls fail
     */
    public void setUnavailable(boolean now) {
        setUnavailable = now;
    }

    /** Deletes all records but the newest of each key. */
    public void compact() {
        first = records.size();
    }

    /**
     * Counts the calls.
     *
     * @return calls since the start
     */
    public int calls() {
        return calls;
    }

    @Override
    public CompletableFuture<NewestPage> newest(LogStream stream, String after) {
        calls++;
        if (setUnavailable) {
            return failed(SharedLogException.Kind.REJECTED);
        }
        final TreeMap<String, KeyedRecord> newest = new TreeMap<>();
        records.forEach(keyed -> {
            if (keyed.tombstone()) {
                newest.remove(keyed.key());
            } else {
                newest.put(keyed.key(), keyed);
            }
        });
        return CompletableFuture.completedFuture(
                new NewestPage(List.copyOf(newest.tailMap(after, false).values()), false, records.size()));
    }

    @Override
    public CompletableFuture<LogBatch> read(LogStream stream, long from, Duration wait) {
        calls++;
        if (setUnavailable) {
            return failed(SharedLogException.Kind.REJECTED);
        }
        if (from < first) {
            return failed(SharedLogException.Kind.HISTORY_LOST);
        }
        if (from < records.size() || wait.isZero()) {
            return CompletableFuture.completedFuture(batch(from));
        }
        final CompletableFuture<LogBatch> answer = new CompletableFuture<>();
        scheduler.schedule(wait.toMillis(), () -> answer.complete(batch(from)));
        return answer;
    }

    private LogBatch batch(long from) {
        return new LogBatch(records.subList((int) from, records.size()), records.size(), records.size());
    }

    @Override
    public CompletableFuture<Long> append(LogStream stream, String key, byte[] value, OptionalLong onlyAt) {
        calls++;
        if (setUnavailable) {
            return failed(SharedLogException.Kind.REJECTED);
        }
        if (onlyAt.isPresent() && onlyAt.getAsLong() != records.size()) {
            return failed(SharedLogException.Kind.OFFSET_MISMATCH);
        }
        records.add(new KeyedRecord(records.size(), key, value));
        return CompletableFuture.completedFuture((long) records.size() - 1);
    }

    private static <T> CompletableFuture<T> failed(SharedLogException.Kind kind) {
        return CompletableFuture.failedFuture(new SharedLogException(kind, kind.toString(), null));
    }
}
