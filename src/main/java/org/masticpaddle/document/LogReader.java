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

/** Reads the log page by page, with one read in flight at a time, and writes snapshots. Not thread-safe. */
final class LogReader {
    private static final Logger LOGGER = LogManager.getLogger(LogReader.class);
    private static final int MAX_PAGE_RECORDS = 200;
    /** Delay after a read without new records; limits the read rate on a log that does not support long polls. */
    private static final long IDLE_DELAY_MILLIS = 20;
    /** Time within which a written snapshot must be read back before another one is written. */
    private static final long SNAPSHOT_RETRY_MILLIS = 10_000;

    private final EventLog log;
    private final ConfigurationSettings settings;
    private final LogFollower follower;
    private final SnapshotSchedule snapshotSchedule;
    private final Backoff backoff;
    private final Consumer<ConfigurationEvent> events;
    private long lastRequestId;
    private boolean inFlight;
    private long sentMillis;
    private long requestTimeoutMillis;
    private long nextReadMillis;
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
        this.snapshotSchedule = SnapshotSchedule.of(settings.retention());
        this.backoff = new Backoff(random);
        this.events = events;
    }

    /** Returns whether peers must be queried: reads fail, or the log holds no usable snapshot. */
    boolean peersNeeded() {
        return backoff.failures() > 0 || atTail && follower.hasGap();
    }

    /** Returns the send time of the last read that reached the end of the log, negative if there was none. */
    long tailMillis() {
        return tailMillis;
    }

    void tick(long now) {
        if (inFlight && now - sentMillis > requestTimeoutMillis) {
            readFailed(now, "no response in " + requestTimeoutMillis + " ms");
        }
        if (!inFlight && now >= nextReadMillis) {
            read(now);
        }
    }

    private void read(long now) {
        inFlight = true;
        sentMillis = now;
        final long requestId = ++lastRequestId;
        // Until the end of the log has been reached once, reads do not wait, so that a start is not delayed.
        final Duration wait = tailMillis < 0 ? Duration.ZERO : settings.readWait();
        requestTimeoutMillis = wait.plus(settings.requestTimeout()).toMillis();
        log.read(ConfigurationRecord.STREAM, follower.nextOffset(), MAX_PAGE_RECORDS, wait)
                .whenComplete((page, error) -> events.accept(new ConfigurationEvent.PageRead(
                        requestId,
                        Optional.ofNullable(page),
                        error == null ? "" : String.valueOf(error.getMessage()))));
    }

    void handle(ConfigurationEvent.PageRead event, long now) {
        if (event.requestId() != lastRequestId || !inFlight) {
            return;
        }
        if (event.page().isEmpty()) {
            readFailed(now, event.error());
            return;
        }
        inFlight = false;
        backoff.reset();
        final LogPage page = event.page().get();
        final long readOffset = follower.nextOffset();
        follower.applyPage(page).forEach(LogReader::logResult);
        if (page.end() < readOffset) {
            LOGGER.error(
                    "configuration stream ends at offset {}, below offset {} that was already read",
                    page.end(),
                    readOffset);
        }
        atTail = follower.nextOffset() >= page.end();
        if (atTail) {
            tailMillis = sentMillis;
        }
        nextReadMillis = follower.nextOffset() > readOffset ? now : now + IDLE_DELAY_MILLIS;
    }

    private void readFailed(long now, String error) {
        inFlight = false;
        atTail = false;
        final long delay = backoff.nextDelayMillis();
        nextReadMillis = now + delay;
        LOGGER.warn("failed to read the configuration stream, retrying in {} ms: {}", delay, error);
    }

    private static void logResult(ApplyResult result) {
        if (result instanceof ApplyResult.Accepted accepted) {
            LOGGER.info(
                    "edit {} of team {} took effect as revision {}",
                    accepted.edit().editId(),
                    accepted.edit().team(),
                    accepted.revision());
        } else if (result instanceof ApplyResult.Rejected rejected) {
            LOGGER.info(
                    "edit {} of team {} was rejected: {}",
                    rejected.edit().editId(),
                    rejected.edit().team(),
                    rejected.verdict());
        } else if (result.equals(new ApplyResult.Ignored(ApplyResult.Reason.UNDECODABLE))) {
            LOGGER.warn("skipped a record of the configuration stream that cannot be decoded");
        }
    }

    /** Writes a snapshot if one is due and the state is at the end of the log. */
    void writeSnapshot(long now, Supplier<List<URI>> entries) {
        if (!atTail || now < nextSnapshotMillis || follower.hasGap()) {
            return;
        }
        final ConfigurationState state = follower.state().orElseThrow();
        // Skips hashing the names of all entries while no snapshot is due even for the first one in the order.
        if (snapshotSchedule.due(state, now, 0)
                && snapshotSchedule.due(state, now, snapshotPosition(state, entries.get()))) {
            nextSnapshotMillis = now + SNAPSHOT_RETRY_MILLIS;
            log.append(ConfigurationRecord.STREAM, List.of(state.snapshot().encode()))
                    .whenComplete((offset, error) -> {
                        if (error != null) {
                            events.accept(new ConfigurationEvent.SnapshotFailed(String.valueOf(error.getMessage())));
                        }
                    });
        }
    }

    private int snapshotPosition(ConfigurationState state, List<URI> entries) {
        final List<String> names = entries.stream().map(URI::toString).toList();
        return SnapshotSchedule.position(state.newestSnapshot(), settings.self().toString(), names);
    }

    void handle(ConfigurationEvent.SnapshotFailed event) {
        LOGGER.warn(
                "the snapshot may not have been written, retrying in {} ms at the earliest: {}",
                SNAPSHOT_RETRY_MILLIS,
                event.error());
    }
}
