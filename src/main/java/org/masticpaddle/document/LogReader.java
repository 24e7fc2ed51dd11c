package org.masticpaddle.document;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticpaddle.platform.EventLog;
import org.masticpaddle.platform.LogPage;

/** Reads the log page after page with one read at a time, and writes snapshots. Used by one thread. */
final class LogReader {
    private static final Logger LOGGER = LogManager.getLogger(LogReader.class);
    private static final int PAGE_RECORDS = 200;
    /** Keeps a log that does not wait for records from being read without a pause. */
    private static final long PAUSE_MILLIS = 20;
    /** Time to read a snapshot back before it is written again. */
    private static final long SNAPSHOT_RETRY_MILLIS = 10_000;

    private final EventLog log;
    private final ConfigurationSettings settings;
    private final LogFollower follower;
    private final SnapshotSchedule schedule;
    private final Backoff backoff;
    private final Consumer<ConfigurationEvent> events;
    private long call;
    private boolean inFlight;
    private long sentMillis;
    private long limitMillis;
    private long nextMillis;
    private long nextSnapshotMillis;
    private boolean atTail;
    private long tailMillis = -1;

    LogReader(
            EventLog log,
            ConfigurationSettings settings,
            LogFollower follower,
            UniformRandomProvider random,
            Consumer<ConfigurationEvent> events) {
        this.log = log;
        this.settings = settings;
        this.follower = follower;
        this.schedule = SnapshotSchedule.of(settings.retention());
        this.backoff = new Backoff(random);
        this.events = events;
    }

    /** Tells whether reads fail, or the log alone cannot give a document. */
    boolean needsPeers() {
        return backoff.failures() > 0 || atTail && follower.searching();
    }

    /** Returns the time of the last read to the end of the log, negative if there was none. */
    long tailMillis() {
        return tailMillis;
    }

    void tick(long now) {
        if (inFlight && now - sentMillis > limitMillis) {
            failed(now, "no answer in " + limitMillis + " ms");
        }
        if (!inFlight && now >= nextMillis) {
            read(now);
        }
    }

    private void read(long now) {
        inFlight = true;
        sentMillis = now;
        final long sent = ++call;
        // The first read does not wait, so that the end of the log is known at once.
        final Duration wait = tailMillis < 0 ? Duration.ZERO : settings.readWait();
        limitMillis = wait.plus(settings.callTimeout()).toMillis();
        log.read(ConfigurationRecord.STREAM, follower.readFrom(), PAGE_RECORDS, wait)
                .whenComplete((page, error) -> events.accept(new ConfigurationEvent.PageRead(
                        sent, Optional.ofNullable(page), error == null ? "" : String.valueOf(error.getMessage()))));
    }

    void handle(ConfigurationEvent.PageRead event, long now) {
        if (event.call() != call || !inFlight) {
            return;
        }
        if (event.page().isEmpty()) {
            failed(now, event.error());
            return;
        }
        inFlight = false;
        backoff.succeeded();
        final LogPage page = event.page().get();
        final long before = follower.readFrom();
        follower.accept(page).forEach(LogReader::logResult);
        if (page.end() < before) {
            LOGGER.error("configuration stream ends at {}, below the offset {} already read", page.end(), before);
        }
        atTail = follower.readFrom() >= page.end();
        if (atTail) {
            tailMillis = sentMillis;
        }
        nextMillis = follower.readFrom() > before ? now : now + PAUSE_MILLIS;
    }

    private void failed(long now, String error) {
        inFlight = false;
        atTail = false;
        final long delay = backoff.failedMillis();
        nextMillis = now + delay;
        LOGGER.warn("configuration stream cannot be read, next try in {} ms: {}", delay, error);
    }

    private static void logResult(ApplyResult result) {
        if (result instanceof ApplyResult.Accepted accepted) {
            LOGGER.info(
                    "edit {} of team {} is in effect as revision {}",
                    accepted.edit().editId(),
                    accepted.edit().team(),
                    accepted.revision());
        } else if (result instanceof ApplyResult.Rejected rejected) {
            LOGGER.info(
                    "edit {} of team {} is rejected: {}",
                    rejected.edit().editId(),
                    rejected.edit().team(),
                    rejected.verdict());
        } else if (result.equals(new ApplyResult.Ignored(ApplyResult.Reason.UNDECODABLE))) {
            LOGGER.warn("record of the configuration stream is not understood and is skipped");
        }
    }

    /** Writes a snapshot if one is due and the state is read to the end of the log. */
    void writeSnapshot(long now, Supplier<List<URI>> entries) {
        if (!atTail || now < nextSnapshotMillis || follower.searching()) {
            return;
        }
        final ConfigurationState fold = follower.fold().orElseThrow();
        // Hashing the names of all entries is left out while not even the first one in the order would write.
        if (schedule.due(fold, now, 0) && schedule.due(fold, now, rank(fold, entries.get()))) {
            nextSnapshotMillis = now + SNAPSHOT_RETRY_MILLIS;
            log.append(ConfigurationRecord.STREAM, List.of(fold.snapshot().encode()))
                    .whenComplete((offset, error) -> {
                        if (error != null) {
                            events.accept(new ConfigurationEvent.SnapshotFailed(String.valueOf(error.getMessage())));
                        }
                    });
        }
    }

    private int rank(ConfigurationState fold, List<URI> entries) {
        final List<String> names = entries.stream().map(URI::toString).toList();
        return SnapshotSchedule.rank(fold.newestSnapshot(), settings.self().toString(), names);
    }

    void handle(ConfigurationEvent.SnapshotFailed event) {
        LOGGER.warn(
                "snapshot may not be written, next try in {} ms at the earliest: {}",
                SNAPSHOT_RETRY_MILLIS,
                event.error());
    }
}
