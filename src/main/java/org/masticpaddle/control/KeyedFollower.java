package org.masticpaddle.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.apache.commons.rng.UniformRandomProvider;
import org.masticpaddle.kernel.Scheduler;

/**
 * Follows a keyed stream: lists the newest record of each key once, then reads on from the end of the listing. Lists
 * again if the log has deleted records that were not read.
 *
 * <p>Invariants: the listener receives the records of a key in the order of their offsets, never an older one after a
 * newer one; all records acknowledged by a time that is passed to {@link Listener#onCaughtUp} have been delivered; a listener
 * that throws does not end the reads. All methods and the listener run on the scheduler's thread.
 */
public final class KeyedFollower {
    /**
     * Delay after the first failed request, doubled with each further failure. Rejected requests are billed as well.
     */
    private static final long INITIAL_BACKOFF_MILLIS = 60;

    /** Fraction by which a pause may be shorter than the timing permits. */
    private static final double PAUSE_JITTER = 0.05;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Time by which a response of a log whose clock is fast may come before the end of its wait. */
    private static final long HOLD_TOLERANCE_NANOS = 10 * NANOS_PER_MILLI;

    private final SharedLog log;
    private final LogStream stream;
    private final Scheduler scheduler;
    private final UniformRandomProvider random;
    private final Listener listener;
    private final Consumer<RuntimeException> errors;
    private final Map<String, Long> lastOffsets = new HashMap<>();
    private ReadTiming timing;
    private Set<String> listedKeys = new HashSet<>();
    private boolean listReadable;
    private long listEndOffset;
    private long listStartNanos;
    private long nextOffset;
    private boolean following;
    private boolean available;
    private boolean stopped;
    private int failures;
    private long reads;
    private boolean readInFlight;
    private long lastSentNanos;
    private Optional<Scheduler.Timer> pauseEnd = Optional.empty();
    private Optional<Scheduler.Timer> backoffEnd = Optional.empty();
    private volatile StreamHealth health;

    /**
     * Creates a follower that is not started.
     *
     * @param log the platform's log
     * @param stream the stream to follow
     * @param timing timing of the reads
     * @param scheduler clock and timers of the thread that owns the follower
     * @param random source of jitter
     * @param listener receives the records and the state of the connection to the log
     * @param errors receives the exceptions that the listener throws, whose records count as delivered, and an exception for
     *     each listing that is repeated because some of its records cannot be read
     */
    public KeyedFollower(
            SharedLog log,
            LogStream stream,
            ReadTiming timing,
            Scheduler scheduler,
            UniformRandomProvider random,
            Listener listener,
            Consumer<RuntimeException> errors) {
        this.log = Objects.requireNonNull(log, "log is null");
        this.stream = Objects.requireNonNull(stream, "stream is null");
        this.timing = Objects.requireNonNull(timing, "timing is null");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler is null");
        this.random = Objects.requireNonNull(random, "random is null");
        this.listener = Objects.requireNonNull(listener, "listener is null");
        this.errors = Objects.requireNonNull(errors, "errors is null");
        health = StreamHealth.unread(stream);
    }

    /** Starts to list and read the stream. */
    public void start() {
        listNewest("");
    }

    /** Stops the follower. The response of a request in flight is ignored. */
    public void stop() {
        stopped = true;
    }

    /**
     * Changes the timing of the reads. A read that the log may hold for longer than the new timing permits is replaced by
     * another one, and its response is ignored; a longer pause is replaced by the new one.
     *
     * @param newTiming timing of the next reads
     */
    public void setTiming(ReadTiming newTiming) {
        final boolean replacesRead =
                readInFlight && newTiming.longPollTimeout().compareTo(timing.longPollTimeout()) < 0;
        final boolean endsPause = pauseEnd.isPresent() && newTiming.pause().compareTo(timing.pause()) < 0;
        timing = Objects.requireNonNull(newTiming, "newTiming is null");
        if (endsPause) {
            pauseEnd.get().cancel();
            pause(lastSentNanos);
        }
        if (replacesRead && !stopped) {
            read();
        }
    }

    /** Repeats a failed request soon, since another request to the log has succeeded. Has no effect without a failure. */
    public void retry() {
        failures = Math.min(failures, 1);
        backoffEnd.ifPresent(timer -> {
            timer.cancel();
            backoffEnd = Optional.empty();
            listOrRead();
        });
    }

    /**
     * Returns the position of the follower in the stream.
     *
     * @return offset of the next record to read, empty while the newest records are being listed
     */
    public OptionalLong position() {
        return following ? OptionalLong.of(nextOffset) : OptionalLong.empty();
    }

    /**
     * Returns what is known of the stream; may be called by any thread.
     *
     * @return state after the last response or failure
     */
    public StreamHealth health() {
        return health;
    }

    private void listOrRead() {
        if (stopped) {
            return;
        }
        if (following) {
            read();
        } else {
            listNewest("");
        }
    }

    private void listNewest(String after) {
        if (after.isEmpty()) {
            listedKeys = new HashSet<>();
            listStartNanos = scheduler.nanos();
            listReadable = true;
        }
        handleResponse(log.newest(stream, after), () -> true, page -> {
            if (after.isEmpty()) {
                listEndOffset = page.endOffset();
            }
            listReadable &= page.readable();
            page.records().stream()
                    .filter(keyedRecord -> keyedRecord.offset() != KeyedRecord.UNKNOWN_OFFSET)
                    .forEach(keyedRecord -> {
                        listedKeys.add(keyedRecord.key());
                        deliver(keyedRecord);
                    });
            if (page.hasMore() && !page.records().isEmpty()) {
                listNewest(page.records().get(page.records().size() - 1).key());
                return;
            }
            if (!listReadable) {
                // The newest record of some key is not known, so that the listing confirms and removes nothing.
                errors.accept(new SharedLogException(
                        SharedLogException.Kind.MALFORMED, "the listing has a record that cannot be read", null));
                backOff();
                return;
            }
            failures = 0;
            deliverMissingTombstones();
            following = true;
            nextOffset = listEndOffset;
            notifyListener(() -> listener.onCaughtUp(listStartNanos));
            if (returnsAtOnce()) {
                pause(listStartNanos);
            } else {
                read();
            }
        });
    }

    private void deliverMissingTombstones() {
        final List<String> missing = lastOffsets.entrySet().stream()
                .filter(last -> last.getValue() < listEndOffset && !listedKeys.contains(last.getKey()))
                .map(Map.Entry::getKey)
                .toList();
        missing.forEach(key -> deliver(new KeyedRecord(listEndOffset - 1, key, new byte[0])));
    }

    private void read() {
        final long sentNanos = scheduler.nanos();
        // After a failure, a read that returns at once confirms that nothing was missed.
        final Duration longPollTimeout = failures > 0 ? Duration.ZERO : timing.longPollTimeout();
        final long number = ++reads;
        readInFlight = true;
        handleResponse(log.read(stream, nextOffset, longPollTimeout), () -> number == reads, batch -> {
            readInFlight = false;
            failures = 0;
            batch.records().forEach(this::deliver);
            nextOffset = batch.nextOffset();
            if (batch.complete()) {
                final long caughtUpNanos = batch.records().isEmpty()
                        ? sentNanos + confirmedHoldNanos(scheduler.nanos() - sentNanos, longPollTimeout)
                        : sentNanos;
                notifyListener(() -> listener.onCaughtUp(caughtUpNanos));
                pause(sentNanos);
            } else {
                listOrRead();
            }
        });
    }

    /**
     * Returns for how long after its sending an empty response shows that there was no further record. The log holds it for the
     * whole wait; one that comes earlier was not held and may have been made as soon as the request was sent.
     */
    private static long confirmedHoldNanos(long elapsedNanos, Duration longPollTimeout) {
        final long waitNanos = longPollTimeout.toNanos();
        return elapsedNanos + HOLD_TOLERANCE_NANOS < waitNanos ? 0 : Math.min(elapsedNanos, waitNanos);
    }

    private boolean returnsAtOnce() {
        return timing.longPollTimeout().isZero();
    }

    /**
     * Pauses until the next read. The jitter, which only shortens a pause, keeps readers of a stream that started together from
     * staying in step.
     *
     * @param sentNanos time at which the last request was sent
     */
    private void pause(long sentNanos) {
        lastSentNanos = sentNanos;
        final long elapsedMillis = returnsAtOnce() ? (scheduler.nanos() - sentNanos) / NANOS_PER_MILLI : 0;
        final double pauseMillis = timing.pause().toMillis() * (1 - PAUSE_JITTER * random.nextDouble());
        pauseEnd = Optional.of(scheduler.schedule(Math.max(0, (long) pauseMillis - elapsedMillis), () -> {
            pauseEnd = Optional.empty();
            listOrRead();
        }));
    }

    private <T> void handleResponse(CompletableFuture<T> response, BooleanSupplier expected, Consumer<T> onSuccess) {
        response.whenComplete((value, error) -> {
            if (stopped || !expected.getAsBoolean()) {
                return;
            }
            if (error == null) {
                requestSucceeded();
                onSuccess.accept(value);
                health = health.at(position());
            } else {
                requestFailed(error);
            }
        });
    }

    private void requestSucceeded() {
        health = health.onResponse(scheduler.nanos());
        if (!available) {
            available = true;
            notifyListener(listener::onAvailable);
        }
    }

    private void requestFailed(Throwable error) {
        readInFlight = false;
        final Throwable cause = error instanceof CompletionException ? error.getCause() : error;
        if (cause instanceof SharedLogException logError && logError.kind() == SharedLogException.Kind.HISTORY_LOST) {
            requestSucceeded();
            failures = 0;
            notifyListener(listener::onHistoryLost);
            following = false;
            listOrRead();
            return;
        }
        health = health.onFailure(scheduler.nanos());
        if (available) {
            available = false;
            notifyListener(() -> listener.onUnavailable(String.valueOf(cause.getMessage())));
        }
        backOff();
    }

    private void backOff() {
        final long maxDelayMillis =
                Math.min(timing.maxBackoff().toMillis(), INITIAL_BACKOFF_MILLIS << Math.min(failures, 8));
        failures++;
        final long delayMillis = maxDelayMillis / 2 + random.nextLong(maxDelayMillis / 2 + 1);
        backoffEnd = Optional.of(scheduler.schedule(delayMillis, () -> {
            backoffEnd = Optional.empty();
            listOrRead();
        }));
    }

    private void deliver(KeyedRecord keyedRecord) {
        final Long lastOffset = lastOffsets.get(keyedRecord.key());
        if (lastOffset != null && lastOffset >= keyedRecord.offset()) {
            return;
        }
        if (keyedRecord.tombstone()) {
            lastOffsets.remove(keyedRecord.key());
        } else {
            lastOffsets.put(keyedRecord.key(), keyedRecord.offset());
        }
        notifyListener(() -> listener.onRecord(keyedRecord));
    }

    /** Calls the listener; an exception must not end the reads. */
    private void notifyListener(Runnable notification) {
        try {
            notification.run();
        } catch (RuntimeException e) {
            errors.accept(e);
        }
    }

    /** Receives the records of a stream and changes of the connection to the log. */
    @FunctionalInterface
    public interface Listener {
        /**
         * Called with each new record.
         *
         * @param keyedRecord newest record of its key; a tombstone removes the key
         */
        void onRecord(KeyedRecord keyedRecord);

        /**
         * Called when the end of the stream was reached.
         *
         * @param nanos time up to which all acknowledged records have been delivered, by the scheduler's clock
         */
        default void onCaughtUp(long nanos) {}

        /**
         * Called on the first failed request after a successful one.
         *
         * @param reason message of the error
         */
        default void onUnavailable(String reason) {}

        /** Called on the first successful request, and on the first one after failures. */
        default void onAvailable() {}

        /** Called when records were deleted before they were read. The stream is then listed again. */
        default void onHistoryLost() {}
    }
}
