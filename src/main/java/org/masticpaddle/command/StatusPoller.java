package org.masticpaddle.command;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import org.masticpaddle.wire.HttpClient;
import org.masticpaddle.wire.HttpRequest;
import org.masticpaddle.wire.HttpResponse;
import org.masticpaddle.wire.Json;
import org.masticpaddle.wire.MalformedMessageException;
import org.masticpaddle.wire.ProcessStatus;

/** Asks processes for their status, a bounded number at a time, each for a bounded time. Used by one thread. */
final class StatusPoller {
    // An idle connection to each of thousands of processes would exhaust the file descriptors.
    private static final Map<String, String> CLOSE_CONNECTION = Map.of("Connection", "close");

    private final HttpClient client;
    private final int concurrency;
    private final Duration timeout;

    StatusPoller(HttpClient client, int parallel, Duration timeout) {
        this.client = Objects.requireNonNull(client, "client is null");
        this.concurrency = parallel;
        this.timeout = Objects.requireNonNull(timeout, "timeout is null");
    }

    /** Asks all; the result has their order. */
    List<Result> poll(List<Target> processes) {
        final ExecutorService workers = Executors.newFixedThreadPool(Math.max(1, Math.min(concurrency, processes.size())));
        try {
            final List<CompletableFuture<Result>> replies = new ArrayList<>();
            processes.forEach(process -> replies.add(CompletableFuture.supplyAsync(() -> poll(process), workers)));
            return replies.stream().map(CompletableFuture::join).toList();
        } finally {
            workers.shutdownNow();
        }
    }

    private Result poll(Target process) {
        try {
            final HttpRequest call = HttpRequest.get(process.origin(), "/internal/process", timeout)
                    .withHeaders(CLOSE_CONNECTION);
            final HttpResponse answer = client.send(call)
                    .orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
                    .join();
            if (answer.status() != 200) {
                return new Result(process, Optional.empty(), "status " + answer.status());
            }
            return new Result(process, Optional.of(Json.decode(answer.body(), ProcessStatus.class)), "");
        } catch (CompletionException e) {
            final String reason = e.getCause().getMessage();
            return new Result(
                    process,
                    Optional.empty(),
                    reason == null ? "no answer within " + timeout.toMillis() + " ms" : reason);
        } catch (MalformedMessageException e) {
            return new Result(process, Optional.empty(), e.getMessage());
        }
    }

    /** A process to ask. */
    record Target(String id, String service, URI origin) {}

    /** What a process answered, or why there is no answer. */
    record Result(Target target, Optional<ProcessStatus> status, String problem) {}
}
