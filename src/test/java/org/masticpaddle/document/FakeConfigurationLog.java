package org.masticpaddle.document;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.apache.commons.rng.UniformRandomProvider;
import org.masticpaddle.platform.EventLog;
import org.masticpaddle.platform.LogPage;
import org.masticpaddle.platform.LogRecord;
import org.masticpaddle.platform.PlatformException;

/** Log in memory with random faults, and the fold over all records ever appended as the truth. Used by one thread. */
final class FakeConfigurationLog implements EventLog {
    final List<LogRecord> records = new ArrayList<>();
    final List<ConfigurationFold> truth = new ArrayList<>(List.of(ConfigurationFold.empty()));
    final Deque<byte[]> delayed = new ArrayDeque<>();
    long nowMillis = 1;
    long earliest;
    boolean out;
    boolean faulty = true;
    private final UniformRandomProvider random;

    FakeConfigurationLog(UniformRandomProvider random) {
        this.random = random;
    }

    void store(byte[] data) {
        records.add(new LogRecord(records.size(), nowMillis, data));
        final ConfigurationFold last = truth.get(truth.size() - 1);
        truth.add(last.apply(records.get(records.size() - 1)).next());
    }

    void trim(long retentionMillis) {
        while (earliest < records.size() && records.get((int) earliest).timeMillis() < nowMillis - retentionMillis) {
            earliest++;
        }
    }

    void deliverDelayed() {
        if (!delayed.isEmpty()) {
            store(delayed.poll());
        }
    }

    @Override
    public CompletableFuture<Long> append(String stream, List<byte[]> data) {
        if (out) {
            return failed(PlatformException.Effect.NONE);
        }
        final int fault = faulty ? random.nextInt(12) : 12;
        final long offset = records.size();
        switch (fault) {
            case 0 -> {
                return failed(PlatformException.Effect.NONE);
            }
            case 1 -> {
                return failed(PlatformException.Effect.POSSIBLE);
            }
            case 2 -> {
                data.forEach(this::store);
                return failed(PlatformException.Effect.POSSIBLE);
            }
            case 3 -> {
                delayed.addAll(data);
                return failed(PlatformException.Effect.POSSIBLE);
            }
            case 4 -> {
                data.forEach(this::store);
                delayed.addAll(data);
            }
            default -> data.forEach(this::store);
        }
        return CompletableFuture.completedFuture(offset);
    }

    @Override
    public CompletableFuture<LogPage> read(String stream, long from, int limit, Duration wait) {
        if (out || faulty && random.nextInt(8) == 0) {
            return failed(PlatformException.Effect.NONE);
        }
        final int start = (int) Math.min(Math.max(from, earliest), records.size());
        final int end = Math.min(records.size(), start + 1 + random.nextInt(4));
        return CompletableFuture.completedFuture(
                new LogPage(earliest, records.size(), List.copyOf(records.subList(start, end))));
    }

    private static <T> CompletableFuture<T> failed(PlatformException.Effect effect) {
        return CompletableFuture.failedFuture(new PlatformException(effect, "fault", null));
    }
}
