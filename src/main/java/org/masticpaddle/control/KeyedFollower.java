package org.masticpaddle.control;

import java.time.Duration;
import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.masticpaddle.kernel.Scheduler;

/**
 * Follows a keyed stream: lists the newest record of each key once, then reads on from the end of the listing. Lists
 * again if the log has deleted records that were not read, if it begins another era and, where it names no era, after each failure,
 * since it may have been restored from a copy meanwhile.
 *
 * <p>Invariants: within one history of the stream, the listener receives the records of a key in the order of their offsets, never
 * an older one after a newer one; it is told of another history before the first record of it; a key that only an earlier history
 * held is removed once its writers have had the time to write it again; all records acknowledged by a time that is passed to {@link
 * Listener#onCaughtUp} have been delivered, unless the log has lost them; neither a listener that throws, nor a request that fails in
 * any way or has no answer, ends the reads. All methods and the listener run on the scheduler's thread, except {@link #health()}.
 */
public final class KeyedFollower {
    /**
     * Delay after the first failed request, doubled with each further failure. Rejected requests are billed as well.
     */
    private static final long INITIAL_BACKOFF_MILLIS = 60;

    /**
     * Time after the wait of a request at which it counts as failed. Longer than any timeout of the log's client, which covers
     * the cases in which a connection is at fault.
     */
    private static final Duration MAX_RESPONSE_TIME = Duration.ofSeconds(8);

    /** Number of attempts, a few seconds of them, to deliver a record for which the listener runs out of memory. */
    private static final int MAX_DELIVERY_ATTEMPTS = 20;

    /** Fraction by which a pause may be shorter than the timing permits. */
    private static final double PAUSE_JITTER = 0.05;

    /** Time by which an empty response may come before the end of the wait, for rounded times. */
    private static final long HOLD_TOLERANCE_NANOS = 20_000_000L;

    /** Pause after an empty response that the log did not hold. */
    private static final long UNHELD_READ_PAUSE_MILLIS = 100;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final SharedLog log;
    private final LogStream stream;
    private final Scheduler scheduler;
    private final UniformRandomProvider random;
    private final Listener listener;
    private final Consumer<Throwable> errors;
    private final DeliveredRecords delivered = new DeliveredRecords();
    private ReadTiming timing;
    private Set<String> listedKeys = new HashSet<>();
    private boolean listReadable;
    private long listEndOffset;
    private long listStartNanos;
    private long nextOffset;
    private long era = SharedLog.NO_ERA;
    private boolean listed;
    private boolean following;
    private boolean available;
    private boolean stopped;
    private int failures;
    private int deliveryAttempts;
    private long requests;
    private boolean readInFlight;
    private int lostSinceRead;
    private long lastSentNanos;
    private Optional<Scheduler.Timer> responseLimit = Optional.empty();
    private Optional<Scheduler.Timer> pauseEnd = Optional.empty();
    private Optional<Scheduler.Timer> backoffEnd = Optional.empty();
    private Optional<Scheduler.Timer> rewriteEnd = Optional.empty();
    private boolean rewritesAwaited;
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
     * @param errors receives what the listener throws, the failures of requests that a log must not show, and an exception for each
     *     listing that is repeated because some of its records cannot be read. The record concerned counts as delivered, except that
     *     an {@link OutOfMemoryError} has its delivery repeated for some time
     */
    public KeyedFollower(
            SharedLog log,
            LogStream stream,
            ReadTiming timing,
            Scheduler scheduler,
            UniformRandomProvider random,
            Listener listener,
            Consumer<Throwable> errors) {
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
            cancelTimers();
            listOrRead();
        });
    }

    /**
     * Lists the stream again if a response about another stream has named another era. The response of a request in flight is
     * ignored.
     */
    public void followEra() {
        if (following && !stopped && anotherEraNamed()) {
            cancelTimers();
            readInFlight = false;
            following = false;
            listNewest("");
        }
    }

    private void cancelTimers() {
        pauseEnd.ifPresent(Scheduler.Timer::cancel);
        pauseEnd = Optional.empty();
        backoffEnd.ifPresent(Scheduler.Timer::cancel);
        backoffEnd = Optional.empty();
    }

    /**
     * Returns the era of the records that are delivered.
     *
     * @return era of the log, {@link SharedLog#NO_ERA} if it names none
     */
    public long era() {
        return era;
    }

    /**
     * Returns whether the stream was listed since the start.
     *
     * @return {@code true} also while it is listed again
     */
    public boolean listed() {
        return listed;
    }

    /**
     * Returns the position of the follower in the stream.
     *
     * @return offset of the next record to read, empty while it is not known to count in the present history of the log
     */
    public OptionalLong position() {
        return following && !mayBeRestored() ? OptionalLong.of(nextOffset) : OptionalLong.empty();
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
        if (following && !mayBeRestored()) {
            read();
        } else {
            listNewest("");
        }
    }

    /** Returns whether the log may have been restored since the position was read; without eras, after any failure. */
    private boolean mayBeRestored() {
        return anotherEraNamed() || era == SharedLog.NO_ERA && failures > 0;
    }

    private boolean anotherEraNamed() {
        return log.era() != SharedLog.NO_ERA && log.era() != era;
    }

    private void listNewest(String after) {
        if (after.isEmpty()) {
            listedKeys = new HashSet<>();
            listStartNanos = scheduler.nanos();
            listReadable = true;
        }
        send(Duration.ZERO, () -> log.newest(stream, after), page -> {
            if (!after.isEmpty() && page.era() != era) {
                listNewest("");
                return;
            }
            if (after.isEmpty()) {
                listEndOffset = page.endOffset();
                if (!listed && era == SharedLog.NO_ERA) {
                    era = page.era();
                }
            }
            if (historyReplaced(page)) {
                beginHistory(page);
                if (!after.isEmpty()) {
                    listNewest("");
                    return;
                }
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
            listed = true;
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

    private boolean historyReplaced(NewestPage page) {
        return page.era() != era
                || page.endOffset() < nextOffset
                || page.records().stream().anyMatch(delivered::contradictedBy);
    }

    private void beginHistory(NewestPage page) {
        final HistoryChange change = new HistoryChange(era, page.era(), nextOffset, page.endOffset());
        delivered.beginHistory();
        era = page.era();
        nextOffset = 0;
        following = false;
        health = health.onRestore();
        notifyListener(() -> listener.onHistoryReplaced(change));
        rewritesAwaited = true;
        awaitRewrites();
    }

    /** Removes the keys that the present history lacks once their writers have had the time to write them again. */
    private void awaitRewrites() {
        rewriteEnd.ifPresent(Scheduler.Timer::cancel);
        rewriteEnd = Optional.of(scheduler.schedule(stream.rewriteTime().toMillis(), () -> {
            rewriteEnd = Optional.empty();
            if (stopped) {
                return;
            }
            if (!following) {
                awaitRewrites();
                return;
            }
            rewritesAwaited = false;
            final long lastOffset = nextOffset - 1;
            delivered
                    .removeRetained()
                    .forEach(key ->
                            notifyListener(() -> listener.onRecord(new KeyedRecord(lastOffset, key, new byte[0]))));
            notifyListener(listener::onRestoreSettled);
        }));
    }

    private void deliverMissingTombstones() {
        delivered
                .missingIn(listedKeys, listEndOffset)
                .forEach(key -> deliver(new KeyedRecord(listEndOffset - 1, key, new byte[0])));
    }

    private void read() {
        final long sentNanos = scheduler.nanos();
        // After a failure, a read that returns at once confirms that nothing was missed.
        final Duration longPollTimeout = failures > 0 ? Duration.ZERO : timing.longPollTimeout();
        readInFlight = true;
        send(longPollTimeout, () -> log.read(stream, nextOffset, longPollTimeout), batch -> {
            failures = 0;
            lostSinceRead = 0;
            if (batch.era() != era) {
                following = false;
                listOrRead();
                return;
            }
            batch.records().forEach(keyedRecord -> {
                deliver(keyedRecord);
                nextOffset = keyedRecord.offset() + 1;
            });
            nextOffset = batch.nextOffset();
            final boolean empty = batch.records().isEmpty();
            final long elapsedNanos = scheduler.nanos() - sentNanos;
            final boolean held = elapsedNanos >= longPollTimeout.toNanos() - HOLD_TOLERANCE_NANOS;
            if (batch.complete()) {
                // If the log has held an empty response for the whole wait, there was no further record until then.
                final long caughtUpNanos =
                        empty && held ? sentNanos + Math.min(elapsedNanos, longPollTimeout.toNanos()) : sentNanos;
                notifyListener(() -> listener.onCaughtUp(caughtUpNanos));
            }
            if (empty && !(held && batch.complete())) {
                lastSentNanos = sentNanos;
                schedulePause(UNHELD_READ_PAUSE_MILLIS);
            } else if (batch.complete()) {
                pause(sentNanos);
            } else {
                listOrRead();
            }
        });
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
        schedulePause(Math.max(0, (long) pauseMillis - elapsedMillis));
    }

    private void schedulePause(long millis) {
        pauseEnd = Optional.of(scheduler.schedule(millis, () -> {
            pauseEnd = Optional.empty();
            listOrRead();
        }));
    }

    /** Sends a request, which ends with its response, its failure or the time limit, whichever comes first. */
    private <T> void send(Duration wait, Supplier<CompletableFuture<T>> request, Consumer<T> onSuccess) {
        final long number = ++requests;
        final Duration limit = wait.plus(MAX_RESPONSE_TIME);
        responseLimit.ifPresent(Scheduler.Timer::cancel);
        responseLimit = Optional.of(scheduler.schedule(limit.toMillis(), () -> {
            if (number == requests && !stopped) {
                final SharedLogException error = new SharedLogException(
                        SharedLogException.Kind.UNKNOWN, "no answer from " + stream + " in " + limit, null);
                report(error);
                handleResponse(number, null, error, onSuccess);
            }
        }));
        try {
            request.get().whenComplete((value, error) -> handleResponse(number, value, error, onSuccess));
        } catch (Throwable e) {
            handleResponse(number, null, e, onSuccess);
        }
    }

    private <T> void handleResponse(long number, T value, Throwable error, Consumer<T> onSuccess) {
        if (stopped || number != requests) {
            return;
        }
        final long handled = ++requests;
        responseLimit.ifPresent(Scheduler.Timer::cancel);
        readInFlight = false;
        if (error != null) {
            requestFailed(error);
            return;
        }
        final int failuresBefore = failures;
        final OptionalLong outageBefore = health.outageStartNanos();
        try {
            requestSucceeded();
            onSuccess.accept(value);
            health = health.at(era, position());
        } catch (Throwable e) {
            report(e);
            if (requests == handled && pauseEnd.isEmpty()) {
                failures = failuresBefore;
                health = health.onFailure(outageBefore.orElse(scheduler.nanos()));
                backOff();
            }
        }
    }

    private void requestSucceeded() {
        health = health.onResponse(scheduler.nanos());
        if (rewritesAwaited && rewriteEnd.isEmpty()) {
            awaitRewrites();
        }
        if (!available) {
            available = true;
            notifyListener(listener::onAvailable);
        }
    }

    private void requestFailed(Throwable error) {
        final Throwable cause =
                error instanceof CompletionException && error.getCause() != null ? error.getCause() : error;
        if (following
                && cause instanceof SharedLogException logError
                && logError.kind() == SharedLogException.Kind.HISTORY_LOST) {
            following = false;
            requestSucceeded();
            failures = 0;
            notifyListener(listener::onHistoryLost);
            lostSinceRead++;
            if (lostSinceRead > 1) {
                schedulePause(timing.maxBackoff().toMillis());
            } else {
                listOrRead();
            }
            return;
        }
        if (!(cause instanceof SharedLogException)) {
            report(cause);
        }
        health = health.onFailure(scheduler.nanos());
        backOff();
        // The writers may not reach the log either.
        rewriteEnd.ifPresent(Scheduler.Timer::cancel);
        rewriteEnd = Optional.empty();
        if (available) {
            available = false;
            notifyListener(() -> listener.onUnavailable(String.valueOf(cause.getMessage())));
        }
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

    /** Delivers a record unless it or a newer one of its key was delivered. It counts as delivered once the listener has returned. */
    private void deliver(KeyedRecord keyedRecord) {
        if (!delivered.isNew(keyedRecord)) {
            return;
        }
        try {
            listener.onRecord(keyedRecord);
        } catch (OutOfMemoryError e) {
            deliveryAttempts++;
            if (deliveryAttempts < MAX_DELIVERY_ATTEMPTS) {
                throw e;
            }
            report(e);
        } catch (Throwable e) {
            report(e);
        }
        deliveryAttempts = 0;
        delivered.add(keyedRecord);
    }

    /** Calls the listener; neither an exception nor an error may end the reads. */
    private void notifyListener(Runnable notification) {
        try {
            notification.run();
        } catch (Throwable e) {
            report(e);
        }
    }

    private void report(Throwable error) {
        try {
            errors.accept(error);
        } catch (Throwable e) {
            // Nothing else can tell of it; the outage of the stream shows in its health.
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

        /**
         * Called before the first record of another history of the stream, whose records up to the next call of {@link #onCaughtUp}
         * may be older than those delivered before. Keys that it lacks are removed later, unless they are written again.
         *
         * @param change eras and offsets of both histories
         */
        default void onHistoryReplaced(HistoryChange change) {}

        /**
         * Called after the keys were removed that only an earlier history held, when their writers have had the time to write them
         * again without an outage.
         */
        default void onRestoreSettled() {}
    }
}
