package org.masticpaddle.entry;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticpaddle.platform.EventLog;
import org.masticpaddle.platform.LogPage;
import org.masticpaddle.platform.LogRecord;
import org.masticpaddle.rollout.RolloutState;
import org.masticpaddle.rollout.VersionHealth;
import org.masticpaddle.wire.Json;
import org.masticpaddle.wire.MalformedMessageException;

/**
 * Publishes this entry's observations of the versions to the log stream {@code observations}, and merges the summaries
 * of the other entries from it.
 *
 * <p>Invariants: at most one append and one read are in flight; while the log is unavailable, nothing is buffered
 * beyond the content of the next summary. All methods run on the entry's duty.
 */
final class EntrySummaryExchange {
    private static final Logger LOGGER = LogManager.getLogger(EntrySummaryExchange.class);
    private static final long MIN_APPEND_INTERVAL_MILLIS = 2_000;
    // Appends per second of all entries together: every entry reads all of them, within 17 KB a second.
    private static final long MAX_APPENDS_PER_SECOND = 10;
    private static final int MAX_PAGE_RECORDS = 256;
    // Number of existing records that a new entry reads at its start; older summaries have little weight.
    private static final long BACKLOG_RECORDS = 2_000;
    private static final long READ_RETRY_DELAY_MILLIS = 1_000;
    private static final Duration LONG_POLL_TIMEOUT = Duration.ofSeconds(5);

    private final EntryContext context;
    private final EventLog log;
    private final String source;
    private final VersionTracker versionTracker;
    private long nextOffset = -1;
    private long nextAppendMillis;
    private long nextReadMillis;
    private long lastAppendMillis;
    private long lastAppendedStopCount;
    private boolean appending;
    private boolean reading;

    EntrySummaryExchange(EntryContext context, EventLog log, String source, VersionTracker versionTracker) {
        this.context = Objects.requireNonNull(context, "context is null");
        this.log = Objects.requireNonNull(log, "log is null");
        this.source = Objects.requireNonNull(source, "source is null");
        this.versionTracker = Objects.requireNonNull(versionTracker, "versionTracker is null");
    }

    /** Appends a summary and reads the next page if they are due. */
    void tick(int entries) {
        final long now = context.nowMillis();
        final boolean stopsChanged =
                stopCount() != lastAppendedStopCount && now >= lastAppendMillis + MIN_APPEND_INTERVAL_MILLIS;
        if (!appending && (now >= nextAppendMillis || stopsChanged)) {
            nextAppendMillis = now + Math.max(MIN_APPEND_INTERVAL_MILLIS, 1000L * entries / MAX_APPENDS_PER_SECOND);
            lastAppendMillis = now;
            lastAppendedStopCount = stopCount();
            append();
        }
        if (!reading && now >= nextReadMillis) {
            read();
        }
    }

    /**
     * Returns the number of version stops and of halted rollouts. A change must reach the other entries quickly, so it
     * is published as soon as the minimum interval has passed.
     */
    private long stopCount() {
        return versionTracker.rolloutStates().values().stream()
                        .filter(RolloutState::halted)
                        .count()
                + versionTracker.healthStates().values().stream()
                        .mapToLong(VersionHealth::stops)
                        .sum();
    }

    private void append() {
        appending = true;
        final EntrySummary summary = new EntrySummary(
                source,
                List.of(versionTracker.qualities().summary(context.nowMillis())),
                versionTracker.observations().takeSummary().stream().toList(),
                List.copyOf(versionTracker.rolloutStates().values()),
                List.copyOf(versionTracker.healthStates().values()));
        log.append(EntrySummary.STREAM, List.of(Json.encode(summary)))
                .whenComplete((offset, error) -> context.loop().execute(() -> appending = false));
    }

    private void read() {
        reading = true;
        final long from = nextOffset < 0 ? Long.MAX_VALUE : nextOffset;
        log.read(EntrySummary.STREAM, from, MAX_PAGE_RECORDS, nextOffset < 0 ? Duration.ZERO : LONG_POLL_TIMEOUT)
                .whenComplete((page, error) -> context.loop().execute(() -> {
                    reading = false;
                    if (error != null) {
                        nextReadMillis = context.nowMillis() + READ_RETRY_DELAY_MILLIS;
                    } else {
                        apply(page);
                    }
                }));
    }

    private void apply(LogPage page) {
        if (nextOffset < 0) {
            nextOffset = Math.max(page.earliest(), page.end() - BACKLOG_RECORDS);
            return;
        }
        page.records().forEach(this::apply);
        nextOffset = Math.max(nextOffset, page.earliest());
    }

    private void apply(LogRecord logRecord) {
        nextOffset = logRecord.offset() + 1;
        try {
            final EntrySummary summary = Json.decode(logRecord.data(), EntrySummary.class);
            if (!summary.source().equals(source)) {
                versionTracker.merge(summary);
            }
        } catch (MalformedMessageException e) {
            LOGGER.warn("skipped malformed record {} of stream {}", logRecord.offset(), EntrySummary.STREAM);
        }
    }
}
