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
 * Shares what entries learn about versions through the log stream {@code observations}.
 *
 * <p>Invariants: at most one append and one read are under way; while the log is out nothing is kept but what the next
 * summary holds. All methods run on the entry's duty.
 */
final class EntrySummaryExchange {
    private static final Logger LOGGER = LogManager.getLogger(EntrySummaryExchange.class);
    private static final long MIN_INTERVAL_MILLIS = 2_000;
    // All entries together append at most this often, since every entry reads all of it within 17 KB a second.
    private static final long APPENDS_PER_SECOND = 10;
    private static final int PAGE_RECORDS = 256;
    // A new entry reads this much of the past; older summaries have little weight.
    private static final long BACKLOG_RECORDS = 2_000;
    private static final long RETRY_MILLIS = 1_000;
    private static final Duration READ_WAIT = Duration.ofSeconds(5);

    private final EntryContext context;
    private final EventLog log;
    private final String source;
    private final VersionTracker knowledge;
    private long nextOffset = -1;
    private long nextAppendMillis;
    private long nextReadMillis;
    private long lastAppendMillis;
    private long lastVerdicts;
    private boolean appending;
    private boolean reading;

    EntrySummaryExchange(EntryContext context, EventLog log, String source, VersionTracker knowledge) {
        this.context = Objects.requireNonNull(context, "context is null");
        this.log = Objects.requireNonNull(log, "log is null");
        this.source = Objects.requireNonNull(source, "source is null");
        this.knowledge = Objects.requireNonNull(knowledge, "knowledge is null");
    }

    /** Appends and reads what is due. */
    void tick(int entries) {
        final long now = context.millis();
        final boolean verdict = verdicts() != lastVerdicts && now >= lastAppendMillis + MIN_INTERVAL_MILLIS;
        if (!appending && (now >= nextAppendMillis || verdict)) {
            nextAppendMillis = now + Math.max(MIN_INTERVAL_MILLIS, 1000L * entries / APPENDS_PER_SECOND);
            lastAppendMillis = now;
            lastVerdicts = verdicts();
            append();
        }
        if (!reading && now >= nextReadMillis) {
            read();
        }
    }

    /** Changes when a version or roll-out is stopped, which the other entries have to learn at once. */
    private long verdicts() {
        return knowledge.rolloutStates().values().stream()
                        .filter(RolloutState::halted)
                        .count()
                + knowledge.healthStates().values().stream()
                        .mapToLong(VersionHealth::stops)
                        .sum();
    }

    private void append() {
        appending = true;
        final EntrySummary summary = new EntrySummary(
                source,
                List.of(knowledge.qualities().summary(context.millis())),
                knowledge.observations().takeSummary().stream().toList(),
                List.copyOf(knowledge.rolloutStates().values()),
                List.copyOf(knowledge.healthStates().values()));
        log.append(EntrySummary.STREAM, List.of(Json.encode(summary)))
                .whenComplete((offset, error) -> context.loop().complete(() -> appending = false));
    }

    private void read() {
        reading = true;
        final long from = nextOffset < 0 ? Long.MAX_VALUE : nextOffset;
        log.read(EntrySummary.STREAM, from, PAGE_RECORDS, nextOffset < 0 ? Duration.ZERO : READ_WAIT)
                .whenComplete((page, error) -> context.loop().complete(() -> {
                    reading = false;
                    if (error != null) {
                        nextReadMillis = context.millis() + RETRY_MILLIS;
                    } else {
                        fold(page);
                    }
                }));
    }

    private void fold(LogPage page) {
        if (nextOffset < 0) {
            nextOffset = Math.max(page.earliest(), page.end() - BACKLOG_RECORDS);
            return;
        }
        page.records().forEach(this::fold);
        nextOffset = Math.max(nextOffset, page.earliest());
    }

    private void fold(LogRecord entry) {
        nextOffset = entry.offset() + 1;
        try {
            final EntrySummary summary = Json.decode(entry.data(), EntrySummary.class);
            if (!summary.source().equals(source)) {
                knowledge.merge(summary);
            }
        } catch (MalformedMessageException e) {
            LOGGER.warn("record {} of stream {} is not understood", entry.offset(), EntrySummary.STREAM);
        }
    }
}
