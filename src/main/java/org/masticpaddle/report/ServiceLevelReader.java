package org.masticpaddle.report;

import java.time.Duration;
import java.util.Objects;

import org.masticpaddle.platform.EventLog;
import org.masticpaddle.platform.LogPage;
import org.masticpaddle.platform.LogRecord;
import org.masticpaddle.wire.Json;
import org.masticpaddle.wire.MalformedMessageException;

/** Reads the interval records on the log. Used by one thread. */
public final class ServiceLevelReader {
    private static final int PAGE_RECORDS = 10_000;

    private final EventLog log;
    private long skipped;

    /**
     * Creates a reader.
     *
     * @param log the platform's log
     */
    public ServiceLevelReader(EventLog log) {
        this.log = Objects.requireNonNull(log, "log is null");
    }

    /**
     * Reads from the earliest kept record to the end that the log had at the start.
     *
     * @param totals receives the records
     * @throws java.util.concurrent.CompletionException if the log gives no answer
     */
    public void read(BurnTotals totals) {
        LogPage page =
                log.read(IntervalRecord.STREAM, 0, PAGE_RECORDS, Duration.ZERO).join();
        final long end = page.end();
        long next = Math.max(0, page.earliest());
        while (!page.records().isEmpty()) {
            for (final LogRecord entry : page.records()) {
                add(entry, totals);
                next = entry.offset() + 1;
            }
            if (next >= end) {
                return;
            }
            page = log.read(IntervalRecord.STREAM, next, PAGE_RECORDS, Duration.ZERO)
                    .join();
        }
    }

    private void add(LogRecord entry, BurnTotals totals) {
        try {
            totals.add(Json.decode(entry.data(), IntervalRecord.class));
        } catch (MalformedMessageException e) {
            skipped++;
        }
    }

    /**
     * Returns the number of records that were not understood.
     *
     * @return the number
     */
    public long skipped() {
        return skipped;
    }
}
