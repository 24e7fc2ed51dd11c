package org.masticpaddle.document;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.locks.LockSupport;

import org.apache.commons.rng.UniformRandomProvider;
import org.masticpaddle.platform.EventLog;
import org.masticpaddle.platform.LogPage;
import org.masticpaddle.platform.PlatformException;

/**
 * Reads the configuration from the log and publishes edits. Each method blocks until its result is known or the timeout
 * has passed. Not thread-safe.
 */
public final class Publisher {
    private static final Duration READ_WAIT = Duration.ofMillis(500);
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);

    private final BlockingLogClient log;
    private final Duration timeout;
    private final UniformRandomProvider random;
    private final List<ApplyResult> results = new ArrayList<>();
    private final List<EditHistory.LoggedEdit> loggedEdits = new ArrayList<>();
    private LogFollower follower = new LogFollower();

    /**
     * Creates a publisher.
     *
     * @param log the platform's log
     * @param timeout time after which a method fails or returns an unknown result
     * @param random source of jitter
     */
    public Publisher(EventLog log, Duration timeout, UniformRandomProvider random) {
        Objects.requireNonNull(log, "log is null");
        this.log = new BlockingLogClient(log, READ_WAIT, REQUEST_TIMEOUT);
        this.timeout = Objects.requireNonNull(timeout, "timeout is null");
        this.random = Objects.requireNonNull(random, "random is null");
    }

    /**
     * Replays the log to its end.
     *
     * @return state at the end of the log
     * @throws PlatformException if the log does not respond in time, or holds no usable snapshot
     */
    public ConfigurationState read() {
        final long deadline = System.nanoTime() + timeout.toNanos();
        final Backoff backoff = new Backoff(random);
        final LogFollower newFollower = new LogFollower();
        results.clear();
        loggedEdits.clear();
        while (!newFollower.caughtUp()) {
            final long readOffset = newFollower.nextOffset();
            try {
                final LogPage page = log.read(readOffset);
                results.addAll(newFollower.applyPage(page));
                loggedEdits.addAll(EditHistory.LoggedEdit.fromPage(page));
            } catch (PlatformException e) {
                if (System.nanoTime() >= deadline) {
                    throw e;
                }
                pause(backoff);
                continue;
            }
            if (newFollower.caughtUp() || newFollower.nextOffset() > readOffset) {
                continue;
            }
            if (System.nanoTime() >= deadline) {
                throw new PlatformException(
                        PlatformException.Effect.NONE, "the log holds no snapshot to start from", null);
            }
            pause(backoff);
        }
        follower = newFollower;
        return newFollower.state().orElseThrow();
    }

    /**
     * Replays the log to its end and returns the latest edits.
     *
     * @return edits, oldest first
     * @throws PlatformException if the log does not respond in time, or holds no usable snapshot
     */
    public EditHistory history() {
        return EditHistory.of(read(), loggedEdits, results);
    }

    /**
     * Publishes a new text of a team's part and waits for its outcome.
     *
     * @param team team that publishes its part
     * @param baseRevision revision of the part on which the text is based, 0 if there was none
     * @param text new INI text of the whole part
     * @param author author of the edit
     * @return accepted, rejected, unknown, or not sent
     */
    public PublishResult publish(String team, long baseRevision, String text, String author) {
        final long deadline = System.nanoTime() + timeout.toNanos();
        final Edit edit =
                new Edit(UUID.randomUUID().toString(), team, baseRevision, text, author, RuleSet.CURRENT.number());
        if (!follower.caughtUp()) {
            try {
                read();
            } catch (PlatformException e) {
                return new PublishResult.NotSent(edit.editId(), String.valueOf(e.getMessage()));
            }
        }
        final Publication publication = new Publication(follower, edit, log);
        final Backoff backoff = new Backoff(random);
        Optional<PublishResult> result = publication.step();
        while (result.isEmpty() && System.nanoTime() < deadline) {
            if (publication.backoffDue()) {
                pause(backoff);
            }
            result = publication.step();
        }
        return result.orElseGet(publication::timeOut);
    }

    private static void pause(Backoff backoff) {
        LockSupport.parkNanos(Duration.ofMillis(backoff.nextDelayMillis()).toNanos());
    }
}
