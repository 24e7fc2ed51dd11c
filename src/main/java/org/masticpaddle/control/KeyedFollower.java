package org.masticpaddle.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;

import org.apache.commons.rng.UniformRandomProvider;
import org.masticpaddle.kernel.Scheduler;

/**
 * Keeps up with a keyed stream: lists the newest records once, then reads on, and lists again after lost history.
 *
 * <p>Invariants: for a key, the listener sees records in the order of their offsets and never an older one after a newer
 * one; a time passed to {@link Listener#onCaughtUp} is one at which every record acknowledged by then had been delivered.
 * All methods and the listener run on the scheduler's thread.
 */
public final class KeyedFollower {
    /** First pause after a failed call; doubled with each failure. Calls that are refused are priced as well. */
    private static final long FIRST_PAUSE_MILLIS = 60;
    /** Longest pause after a failed call, short against the time in which a change must be in force. */
    private static final long LONGEST_PAUSE_MILLIS = 400;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final SharedLog log;
    private final LogStream stream;
    private final Duration wait;
    private final Duration pause;
    private final Scheduler scheduler;
    private final UniformRandomProvider random;
    private final Listener listener;
    private final Map<String, Long> offsets = new HashMap<>();
    private Set<String> listed = new HashSet<>();
    private long listedEnd;
    private long listedSince;
    private long next;
    private boolean following;
    private boolean reachable;
    private boolean stopped;
    private int failures;

    /**
     * Creates a follower that is not started.
     *
     * @param log the log
     * @param stream the stream to follow
     * @param wait time for which a read waits for records at the log; zero for reads that return at once
     * @param pause time between two reads
     * @param scheduler time and timers of the thread that owns the follower
     * @param random source of jitter
     * @param listener receives the records
     */
    public KeyedFollower(
            SharedLog log,
            LogStream stream,
            Duration wait,
            Duration pause,
            Scheduler scheduler,
            UniformRandomProvider random,
            Listener listener) {
        this.log = Objects.requireNonNull(log, "log is null");
        this.stream = Objects.requireNonNull(stream, "stream is null");
        this.wait = Objects.requireNonNull(wait, "wait is null");
        this.pause = Objects.requireNonNull(pause, "pause is null");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler is null");
        this.random = Objects.requireNonNull(random, "random is null");
        this.listener = Objects.requireNonNull(listener, "listener is null");
    }

    /** Begins to list and read. */
    public void start() {
        list("");
    }

    /** Ends after the call that is under way. */
    public void stop() {
        stopped = true;
    }

    /**
     * Returns the end of the stream as far as it was read.
     *
     * @return offset of the next record, empty while the newest records are being listed
     */
    public OptionalLong position() {
        return following ? OptionalLong.of(next) : OptionalLong.empty();
    }

    private void step() {
        if (stopped) {
            return;
        }
        if (following) {
            read();
        } else {
            list("");
        }
    }

    private void list(String after) {
        if (after.isEmpty()) {
            listed = new HashSet<>();
            listedSince = scheduler.nanos();
        }
        call(log.newest(stream, after), page -> {
            if (after.isEmpty()) {
                listedEnd = page.endOffset();
            }
            page.records().forEach(keyed -> {
                listed.add(keyed.key());
                deliver(keyed);
            });
            if (page.hasMore() && !page.records().isEmpty()) {
                list(page.records().get(page.records().size() - 1).key());
                return;
            }
            dropUnlisted();
            following = true;
            next = listedEnd;
            listener.onCaughtUp(listedSince);
            read();
        });
    }

    private void dropUnlisted() {
        final List<String> missing = offsets.entrySet().stream()
                .filter(known -> known.getValue() < listedEnd && !listed.contains(known.getKey()))
                .map(Map.Entry::getKey)
                .toList();
        missing.forEach(key -> deliver(new KeyedRecord(listedEnd - 1, key, new byte[0])));
    }

    private void read() {
        final long sent = scheduler.nanos();
        call(log.read(stream, next, wait), batch -> {
            batch.records().forEach(this::deliver);
            next = batch.nextOffset();
            if (batch.complete()) {
                // An empty answer was held back for the whole wait, so it speaks for the time at which the wait ended.
                listener.onCaughtUp(batch.records().isEmpty() ? sent + wait.toNanos() : sent);
                scheduler.schedule(pause.toMillis(), this::step);
            } else {
                step();
            }
        });
    }

    private <T> void call(CompletableFuture<T> answer, Consumer<T> use) {
        answer.whenComplete((value, error) -> {
            if (stopped) {
                return;
            }
            if (error == null) {
                succeeded();
                use.accept(value);
            } else {
                failed(error);
            }
        });
    }

    private void succeeded() {
        failures = 0;
        if (!reachable) {
            reachable = true;
            listener.onAvailable();
        }
    }

    private void failed(Throwable error) {
        final Throwable cause = error instanceof CompletionException ? error.getCause() : error;
        if (cause instanceof SharedLogException known && known.kind() == SharedLogException.Kind.HISTORY_LOST) {
            succeeded();
            listener.onHistoryLost();
            following = false;
            step();
            return;
        }
        if (reachable) {
            reachable = false;
            listener.onUnavailable(String.valueOf(cause.getMessage()));
        }
        final long longest = Math.min(LONGEST_PAUSE_MILLIS, FIRST_PAUSE_MILLIS << Math.min(failures, 8));
        failures++;
        scheduler.schedule(longest / 2 + random.nextLong(longest / 2 + 1), this::step);
    }

    private void deliver(KeyedRecord keyed) {
        final Long known = offsets.get(keyed.key());
        if (known != null && known >= keyed.offset()) {
            return;
        }
        if (keyed.tombstone()) {
            offsets.remove(keyed.key());
        } else {
            offsets.put(keyed.key(), keyed.offset());
        }
        listener.onRecord(keyed);
    }

    /** Receiver of a stream. */
    @FunctionalInterface
    public interface Listener {
        /**
         * Receives a record.
         *
         * @param keyed newest record of its key; an empty value drops the key
         */
        void onRecord(KeyedRecord keyed);

        /**
         * Learns how fresh the received records are.
         *
         * @param nanos time at which no record was missing, by the scheduler's clock
         */
        default void onCaughtUp(long nanos) {}

        /**
         * Learns that the log does not answer.
         *
         * @param reason what failed
         */
        default void onUnavailable(String reason) {}

        /** Learns that the log answers, for the first time or again. */
        default void onAvailable() {}

        /** Learns that records were deleted before they were read, so that the stream is listed anew. */
        default void onHistoryLost() {}
    }
}
