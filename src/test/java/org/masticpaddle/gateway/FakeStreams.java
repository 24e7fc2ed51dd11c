package org.masticpaddle.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.ToIntFunction;

import org.masticpaddle.control.FakeSharedLog;
import org.masticpaddle.control.KeyedRecord;
import org.masticpaddle.control.LogBatch;
import org.masticpaddle.control.LogStream;
import org.masticpaddle.control.NewestPage;
import org.masticpaddle.control.RolloutProgress;
import org.masticpaddle.control.SharedLog;
import org.masticpaddle.kernel.FakeScheduler;

/** Shared log with a fake for each stream; records the statuses that were written. */
final class FakeStreams implements SharedLog {
    private final Map<LogStream, FakeSharedLog> logs = new EnumMap<>(LogStream.class);
    private final List<RolloutProgress> writtenStatuses = new ArrayList<>();
    private int crashReports;
    private int crashReportReads;

    FakeStreams(FakeScheduler scheduler) {
        for (final LogStream stream : LogStream.values()) {
            logs.put(stream, new FakeSharedLog(scheduler));
        }
    }

    void setUnavailable(boolean unavailable) {
        logs.values().forEach(log -> log.setUnavailable(unavailable));
    }

    FakeSharedLog log(LogStream stream) {
        return logs.get(stream);
    }

    void nameEras() {
        logs.values().forEach(FakeSharedLog::nameEras);
    }

    /** Restores all streams from a copy that holds their first records, as many as a supplier names for each. */
    void restore(ToIntFunction<LogStream> recordCounts) {
        logs.forEach((stream, log) -> log.restore(recordCounts.applyAsInt(stream)));
    }

    /** Returns the number of records of a stream that have not been lost. */
    int recordCount(LogStream stream) {
        return logs.get(stream).recordCount();
    }

    List<RolloutProgress> statuses() {
        return writtenStatuses;
    }

    /** Returns the number of crash reports that gateways wrote. */
    int crashReports() {
        return crashReports;
    }

    /** Returns the number of reads of the crash reports. */
    int crashReportReads() {
        return crashReportReads;
    }

    @Override
    public long era() {
        return logs.values().stream().mapToLong(FakeSharedLog::era).max().orElse(NO_ERA);
    }

    @Override
    public CompletableFuture<NewestPage> newest(LogStream stream, String after) {
        return logs.get(stream).newest(stream, after);
    }

    @Override
    public CompletableFuture<LogBatch> read(LogStream stream, long from, Duration wait) {
        crashReportReads += stream == LogStream.CRASH_REPORTS ? 1 : 0;
        return logs.get(stream).read(stream, from, wait);
    }

    @Override
    public CompletableFuture<Long> append(LogStream stream, String key, byte[] value, OptionalLong onlyAt) {
        final CompletableFuture<Long> appended = logs.get(stream).append(stream, key, value, onlyAt);
        if (stream == LogStream.STATUS && !appended.isCompletedExceptionally()) {
            writtenStatuses.add(new TextControlCodec()
                    .rolloutStatus(new KeyedRecord(0, key, value))
                    .progress());
        }
        crashReports += stream == LogStream.CRASH_REPORTS ? 1 : 0;
        return appended;
    }
}
