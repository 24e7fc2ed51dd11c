package org.masticpaddle.entry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Objects;

import org.masticpaddle.platform.EventLog;
import org.masticpaddle.report.IntervalRecord;
import org.masticpaddle.wire.Json;

/**
 * Appends what the entry counted for the service-level report to the log stream {@code service-levels}.
 *
 * <p>Invariants: at most one append is under way; while the log is out, the oldest records are dropped first. All
 * methods run on the entry's duty.
 */
final class ServiceLevelPublisher {
    private static final long MIN_INTERVAL_MILLIS = 10_000;
    // All entries together append at most this often, a tenth of what the log takes.
    private static final long APPENDS_PER_SECOND = 40;
    // Ten minutes of intervals at the shortest one; at about 5 KB for 30 rows they take 300 KB.
    private static final int MAX_WAITING = 60;

    private final EntryContext context;
    private final EventLog log;
    private final String source;
    private final ServiceLevelCounts counts;
    private final Deque<IntervalRecord> waiting = new ArrayDeque<>();
    private long sequence;
    private long fromMillis;
    private boolean appending;

    ServiceLevelPublisher(EntryContext context, EventLog log, String source, ServiceLevelCounts counts) {
        this.context = Objects.requireNonNull(context, "context is null");
        this.log = Objects.requireNonNull(log, "log is null");
        this.source = Objects.requireNonNull(source, "source is null");
        this.counts = Objects.requireNonNull(counts, "counts is null");
        this.fromMillis = context.millis();
    }

    static long intervalMillis(int entries) {
        return Math.max(MIN_INTERVAL_MILLIS, 1000L * entries / APPENDS_PER_SECOND);
    }

    /** Ends the interval if it is due. */
    void tick(int entries) {
        if (context.millis() - fromMillis >= intervalMillis(entries)) {
            flush();
        }
    }

    /** Ends the interval now and appends all that waits. */
    void flush() {
        final long now = context.millis();
        final List<IntervalRecord.Row> rows = counts.take();
        if (!rows.isEmpty()) {
            waiting.add(new IntervalRecord(source, ++sequence, fromMillis, now, rows));
        }
        fromMillis = now;
        if (waiting.size() > MAX_WAITING) {
            waiting.remove();
        }
        if (!appending && !waiting.isEmpty()) {
            append(List.copyOf(waiting));
        }
    }

    private void append(List<IntervalRecord> batch) {
        appending = true;
        log.append(IntervalRecord.STREAM, batch.stream().map(Json::encode).toList())
                .whenComplete((offset, error) -> context.loop().complete(() -> {
                    appending = false;
                    if (error == null) {
                        waiting.removeAll(batch);
                    }
                }));
    }
}
