package org.masticpaddle.report;

import java.time.Duration;
import java.util.Objects;

import org.masticpaddle.platform.EventLog;
import org.masticpaddle.platform.LogPage;
import org.masticpaddle.platform.LogRecord;
import org.masticpaddle.wire.Json;
import org.masticpaddle.wire.MalformedMessageException;

/** Reads the interval records of all entries from the log. Used by one thread. */
public final class ServiceLevelReader {
    private static final int PAGE_RECORDS = 10_000;

    private final EventLog log;
    private long skipped;

    /**
     * Creates a reader of the given log.
     *
     * @param log client of the platform's log
     */
    public ServiceLevelReader(EventLog log) {
        this.log = Objects.requireNonNull(log, "log is null");
    }

    /**
     * Reads from the earliest retained record to the end that the log had at the first read. Malformed records are
     * skipped.
     *
     * @param totals receives the records in the order of the log
     * @throws java.util.concurrent.CompletionException if the log is unavailable
     */
    public void read(BurnTotals totals) {
        LogPage page =
                log.read(IntervalRecord.STREAM, 0, PAGE_RECORDS, Duration.ZERO).join();
        final long endOffset = page.end();
        long nextOffset = Math.max(0, page.earliest());
        while (!page.records().isEmpty()) {
            for (final LogRecord logRecord : page.records()) {
                add(logRecord, totals);
                nextOffset = logRecord.offset() + 1;
            }
            if (nextOffset >= endOffset) {
                return;
            }
            page = log.read(IntervalRecord.STREAM, nextOffset, PAGE_RECORDS, Duration.ZERO)
                    .join();
        }
    }

    private void add(LogRecord logRecord, BurnTotals totals) {
        try {
            totals.add(Json.decode(logRecord.data(), IntervalRecord.class));
        } catch (MalformedMessageException e) {
            skipped++;
        }
    }

    /**
     * Returns the number of malformed records.
     *
     * @return number of records skipped by all reads so far
     */
    public long skipped() {
        return skipped;
    }
}
