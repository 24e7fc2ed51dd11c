package org.masticpaddle.control;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.masticpaddle.kernel.FakeScheduler;

/**
 * Log that responds to each request with what a test has put in, in the order of the requests, whatever was asked for. Further
 * requests wait until a test puts in more. Not thread-safe.
 */
final class ScriptedSharedLog implements SharedLog {
    private final FakeScheduler scheduler;
    private final Deque<Consumer<CompletableFuture<Object>>> responses = new ArrayDeque<>();
    private final Deque<CompletableFuture<Object>> requests = new ArrayDeque<>();

    ScriptedSharedLog(FakeScheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Responds to the next request at once. */
    void respond(Object response) {
        add(request -> request.complete(response));
    }

    /** Responds to the next request a time after it was sent. */
    void respondAfter(long millis, Object response) {
        add(request -> scheduler.schedule(millis, () -> request.complete(response)));
    }

    /** Fails the next request at once. */
    void fail(SharedLogException.Kind kind) {
        add(request -> request.completeExceptionally(new SharedLogException(kind, kind.toString(), null)));
    }

    private void add(Consumer<CompletableFuture<Object>> response) {
        final CompletableFuture<Object> waiting = requests.poll();
        if (waiting == null) {
            responses.add(response);
        } else {
            response.accept(waiting);
        }
    }

    private CompletableFuture<Object> request() {
        final CompletableFuture<Object> request = new CompletableFuture<>();
        final Consumer<CompletableFuture<Object>> response = responses.poll();
        if (response == null) {
            requests.add(request);
        } else {
            response.accept(request);
        }
        return request;
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
