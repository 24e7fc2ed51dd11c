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

/** Reads the configuration from the log and publishes edits; each call blocks until its result is known or time is up. Used by one thread. */
public final class Publisher {
    private static final Duration READ_WAIT = Duration.ofMillis(500);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);

    private final BlockingLogClient calls;
    private final Duration timeout;
    private final UniformRandomProvider random;
    private final List<ApplyResult> results = new ArrayList<>();
    private final List<EditHistory.LoggedEdit> logged = new ArrayList<>();
    private LogFollower follower = new LogFollower();

    /**
     * Creates a publisher.
     *
     * @param log the platform's log
     * @param timeout time after which the result of a call is that nothing is known
     * @param random source of jitter
     */
    public Publisher(EventLog log, Duration timeout, UniformRandomProvider random) {
        Objects.requireNonNull(log, "log is null");
        this.calls = new BlockingLogClient(log, READ_WAIT, CALL_TIMEOUT);
        this.timeout = Objects.requireNonNull(timeout, "timeout is null");
        this.random = Objects.requireNonNull(random, "random is null");
    }

    /**
     * Reads the log to its end.
     *
     * @return the state there
     * @throws PlatformException if the log gives no answer in time, or holds no usable snapshot
     */
    public ConfigurationState read() {
        final long deadline = System.nanoTime() + timeout.toNanos();
        final Backoff backoff = new Backoff(random);
        final LogFollower fresh = new LogFollower();
        results.clear();
        logged.clear();
        while (!fresh.complete()) {
            final long before = fresh.readFrom();
            try {
                final LogPage page = calls.read(before);
                results.addAll(fresh.accept(page));
                logged.addAll(EditHistory.LoggedEdit.of(page));
            } catch (PlatformException e) {
                if (System.nanoTime() >= deadline) {
                    throw e;
                }
                pause(backoff);
                continue;
            }
            if (fresh.complete() || fresh.readFrom() > before) {
                continue;
            }
            if (System.nanoTime() >= deadline) {
                throw new PlatformException(
                        PlatformException.Effect.NONE, "the log holds no snapshot to start from", null);
            }
            pause(backoff);
        }
        follower = fresh;
        return fresh.fold().orElseThrow();
    }

    /**
     * Reads the log to its end and lists the latest edits.
     *
     * @return the edits
     * @throws PlatformException if the log gives no answer in time, or holds no usable snapshot
     */
    public EditHistory history() {
        return EditHistory.of(read(), logged, results);
    }

    /**
     * Publishes a new text of a team's part.
     *
     * @param team the team
     * @param baseRevision revision that the text was edited from
     * @param text the new text
     * @param author who publishes it
     * @return accepted, rejected, unknown, or not sent
     */
    public PublishResult publish(String team, long baseRevision, String text, String author) {
        final long deadline = System.nanoTime() + timeout.toNanos();
        final Edit edit =
                new Edit(UUID.randomUUID().toString(), team, baseRevision, text, author, RuleSet.CURRENT.number());
        if (!follower.complete()) {
            try {
                read();
            } catch (PlatformException e) {
                return new PublishResult.NotSent(edit.editId(), String.valueOf(e.getMessage()));
            }
        }
        final Publication publication = new Publication(follower, edit, calls);
        final Backoff backoff = new Backoff(random);
        Optional<PublishResult> result = publication.step();
        while (result.isEmpty() && System.nanoTime() < deadline) {
            if (publication.failed()) {
                pause(backoff);
            }
            result = publication.step();
        }
        return result.orElseGet(publication::giveUp);
    }

    private static void pause(Backoff backoff) {
        LockSupport.parkNanos(Duration.ofMillis(backoff.failedMillis()).toNanos());
    }
}
