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

/** Queries processes for their status, with limited concurrency and a timeout for each request. Used by one thread. */
final class StatusPoller {
    // Idle keep-alive connections to thousands of processes would exhaust the file descriptors.
    private static final Map<String, String> CLOSE_CONNECTION = Map.of("Connection", "close");

    private final HttpClient client;
    private final int concurrency;
    private final Duration timeout;

    StatusPoller(HttpClient client, int parallel, Duration timeout) {
        this.client = Objects.requireNonNull(client, "client is null");
        this.concurrency = parallel;
        this.timeout = Objects.requireNonNull(timeout, "timeout is null");
    }

    /** Queries all targets and returns their results in the same order. */
    List<Result> poll(List<Target> targets) {
        final ExecutorService workers =
                Executors.newFixedThreadPool(Math.max(1, Math.min(concurrency, targets.size())));
        try {
            final List<CompletableFuture<Result>> results = new ArrayList<>();
            targets.forEach(target -> results.add(CompletableFuture.supplyAsync(() -> poll(target), workers)));
            return results.stream().map(CompletableFuture::join).toList();
        } finally {
            workers.shutdownNow();
        }
    }

    private Result poll(Target target) {
        try {
            final HttpRequest request = HttpRequest.get(target.origin(), "/internal/process", timeout)
                    .withHeaders(CLOSE_CONNECTION);
            final HttpResponse response = client.send(request)
                    .orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
                    .join();
            if (response.status() != 200) {
                return new Result(target, Optional.empty(), "status " + response.status());
            }
            return new Result(target, Optional.of(Json.decode(response.body(), ProcessStatus.class)), "");
        } catch (CompletionException e) {
            final String reason = e.getCause().getMessage();
            return new Result(
                    target,
                    Optional.empty(),
                    reason == null ? "no response within " + timeout.toMillis() + " ms" : reason);
        } catch (MalformedMessageException e) {
            return new Result(target, Optional.empty(), e.getMessage());
        }
    }

    /** A process to query; {@code service} is empty if it is not known. */
    record Target(String id, String service, URI origin) {}

    /** Status of a process, or the problem that prevented its retrieval; the problem is empty if there is a status. */
    record Result(Target target, Optional<ProcessStatus> status, String problem) {}
}
