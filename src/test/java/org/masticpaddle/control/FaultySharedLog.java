package org.masticpaddle.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Passes requests on to another log; lists and reads can be made to end in ways that a log must not show. Not thread-safe. */
final class FaultySharedLog implements SharedLog {
    private final SharedLog log;
    private final List<Runnable> lateAnswers = new ArrayList<>();
    private Optional<Fault> fault = Optional.empty();

    /**
     * Creates a log without a fault.
     *
     * @param log receiver of the requests
     */
    FaultySharedLog(SharedLog log) {
        this.log = log;
    }

    /** Sets how all further lists and reads end. */
    void setFault(Fault value) {
        fault = Optional.of(value);
    }

    void clearFault() {
        fault = Optional.empty();
    }

    /** Completes the requests that have no answer with what the log answered when they were sent. */
    void releaseLateAnswers() {
        final List<Runnable> released = List.copyOf(lateAnswers);
        lateAnswers.clear();
        released.forEach(Runnable::run);
    }

    @Override
    public CompletableFuture<NewestPage> newest(LogStream stream, String after) {
        return answer(() -> log.newest(stream, after));
    }

    @Override
    public CompletableFuture<LogBatch> read(LogStream stream, long from, Duration wait) {
        if (fault.equals(Optional.of(Fault.DOES_NOT_HOLD))) {
            return log.read(stream, from, Duration.ZERO);
        }
        if (fault.equals(Optional.of(Fault.DENIES_WHAT_IT_LISTS))) {
            return CompletableFuture.failedFuture(
                    new SharedLogException(SharedLogException.Kind.HISTORY_LOST, "lost", null));
        }
        return answer(() -> log.read(stream, from, wait));
    }

    @Override
    public CompletableFuture<Long> append(LogStream stream, String key, byte[] value, OptionalLong expectedOffset) {
        return log.append(stream, key, value, expectedOffset);
    }

    private <T> CompletableFuture<T> answer(Supplier<CompletableFuture<T>> request) {
        if (fault.isEmpty()) {
            return request.get();
        }
        switch (fault.get()) {
            case THROWS_EXCEPTION:
                throw new IllegalStateException("broken");
            case THROWS_ERROR:
                throw new NoClassDefFoundError("broken");
            case FAILS_WITH_EXCEPTION:
                return CompletableFuture.failedFuture(new IllegalStateException("broken"));
            case FAILS_WITH_ERROR:
                return CompletableFuture.failedFuture(new OutOfMemoryError("broken"));
            case LOSES_HISTORY:
                return CompletableFuture.failedFuture(
                        new SharedLogException(SharedLogException.Kind.HISTORY_LOST, "lost", null));
            case DOES_NOT_HOLD:
            case DENIES_WHAT_IT_LISTS:
                return request.get();
            case ANSWERS_NULL:
                return CompletableFuture.completedFuture(null);
            case NO_FUTURE:
                return null;
            default:
                final CompletableFuture<T> unanswered = new CompletableFuture<>();
                final CompletableFuture<T> answer = request.get();
                lateAnswers.add(() -> answer.thenAccept(unanswered::complete));
                return unanswered;
        }
    }

    /** Ways in which a request ends. */
    enum Fault {
        THROWS_EXCEPTION,
        THROWS_ERROR,
        FAILS_WITH_EXCEPTION,
        FAILS_WITH_ERROR,
        LOSES_HISTORY,
        /** Reads return at once, also if there is no record. */
        DOES_NOT_HOLD,
        /** Listings succeed, but the log does not have the offset at which they end. */
        DENIES_WHAT_IT_LISTS,
        ANSWERS_NULL,
        NO_FUTURE,
        UNANSWERED
    }
}
