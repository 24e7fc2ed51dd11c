package org.masticpaddle.entry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Objects;

import org.masticpaddle.platform.EventLog;
import org.masticpaddle.report.IntervalRecord;
import org.masticpaddle.wire.Json;

/**
 * Appends the entry's counts for the service-level report to the log stream {@code service-levels}, one record per
 * interval.
 *
 * <p>Invariants: at most one append is in flight; while the log is unavailable, the oldest records are dropped first.
 * All methods run on the entry's duty.
 */
final class ServiceLevelPublisher {
    private static final long MIN_INTERVAL_MILLIS = 10_000;
    // Appends per second of all entries together, a tenth of what the log can take.
    private static final long MAX_APPENDS_PER_SECOND = 40;
    // Ten minutes at the shortest interval. A record of 30 rows has about 5 KB, so all of them take 300 KB.
    private static final int MAX_PENDING_RECORDS = 60;

    private final EntryContext context;
    private final EventLog log;
    private final String source;
    private final ServiceLevelCounts counts;
    private final Deque<IntervalRecord> pending = new ArrayDeque<>();
    private long sequence;
    private long intervalStartMillis;
    private boolean appending;

    ServiceLevelPublisher(EntryContext context, EventLog log, String source, ServiceLevelCounts counts) {
        this.context = Objects.requireNonNull(context, "context is null");
        this.log = Objects.requireNonNull(log, "log is null");
        this.source = Objects.requireNonNull(source, "source is null");
        this.counts = Objects.requireNonNull(counts, "counts is null");
        this.intervalStartMillis = context.nowMillis();
    }

    /** Length of an interval, which grows with the number of entries to keep the append rate bounded. */
    static long intervalMillis(int entries) {
        return Math.max(MIN_INTERVAL_MILLIS, 1000L * entries / MAX_APPENDS_PER_SECOND);
    }

    /** Ends the current interval if its length has passed. */
    void tick(int entries) {
        if (context.nowMillis() - intervalStartMillis >= intervalMillis(entries)) {
            flush();
        }
    }

    /** Ends the current interval and appends all pending records, unless an append is in flight. */
    void flush() {
        final long now = context.nowMillis();
        final List<IntervalRecord.Row> rows = counts.drain();
        if (!rows.isEmpty()) {
            pending.add(new IntervalRecord(source, ++sequence, intervalStartMillis, now, rows));
        }
        intervalStartMillis = now;
        if (pending.size() > MAX_PENDING_RECORDS) {
            pending.remove();
        }
        if (!appending && !pending.isEmpty()) {
            append(List.copyOf(pending));
        }
    }

    private void append(List<IntervalRecord> batch) {
        appending = true;
        log.append(IntervalRecord.STREAM, batch.stream().map(Json::encode).toList())
                .whenComplete((offset, error) -> context.loop().execute(() -> {
                    appending = false;
                    if (error == null) {
                        pending.removeAll(batch);
                    }
                }));
    }
}
