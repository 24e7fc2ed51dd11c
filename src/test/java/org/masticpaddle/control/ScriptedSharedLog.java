package org.masticpaddle.control;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

import org.masticpaddle.kernel.FakeScheduler;

/**
 * Log that responds to each request with what a test has put in, in the order of the requests, whatever was asked for. Further
 * requests wait until a test puts in more. Not thread-safe.
 */
final class ScriptedSharedLog implements SharedLog {
    private final FakeScheduler scheduler;
    private final Deque<CompletableFuture<Object>> responses = new ArrayDeque<>();
    private final Deque<CompletableFuture<Object>> requests = new ArrayDeque<>();

    ScriptedSharedLog(FakeScheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Responds to the next request at once. */
    void respond(Object response) {
        next().complete(response);
    }

    /** Responds to the next request after a time. */
    void respondAfter(long millis, Object response) {
        final CompletableFuture<Object> future = next();
        scheduler.schedule(millis, () -> future.complete(response));
    }

    /** Fails the next request at once. */
    void fail(SharedLogException.Kind kind) {
        next().completeExceptionally(new SharedLogException(kind, kind.toString(), null));
    }

    private CompletableFuture<Object> next() {
        final CompletableFuture<Object> waiting = requests.poll();
        if (waiting != null) {
            return waiting;
        }
        final CompletableFuture<Object> future = new CompletableFuture<>();
        responses.add(future);
        return future;
    }

    private CompletableFuture<Object> request() {
        final CompletableFuture<Object> prepared = responses.poll();
        if (prepared != null) {
            return prepared;
        }
        final CompletableFuture<Object> future = new CompletableFuture<>();
        requests.add(future);
        return future;
    }

    @Override
    public CompletableFuture<NewestPage> newest(LogStream stream, String after) {
        return request().thenApply(NewestPage.class::cast);
    }

    @Override
    public CompletableFuture<LogBatch> read(LogStream stream, long from, Duration wait) {
        return request().thenApply(LogBatch.class::cast);
    }

    @Override
    public CompletableFuture<Long> append(LogStream stream, String key, byte[] value, OptionalLong expectedOffset) {
        return request().thenApply(Long.class::cast);
    }
}
