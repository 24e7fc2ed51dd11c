package org.masticpaddle.platform;

import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

import org.masticpaddle.wire.HttpClient;
import org.masticpaddle.wire.HttpRequest;

/**
 * HTTP binding of the log: {@code POST /streams/S} with {@code {"records":[BASE64,...]}} returns {@code {"offset":N}};
 * {@code GET /streams/S?from=N&limit=N&wait_ms=T} returns a {@link LogPage}. Thread-safe.
 */
public final class HttpEventLog implements EventLog {
    private final HttpClient client;
    private final URI origin;
    private final Duration timeout;

    /**
     * Creates a binding.
     *
     * @param client client that sends the requests
     * @param origin scheme, host and port of the log
     * @param timeout time without a received byte after which a request fails
     */
    public HttpEventLog(HttpClient client, URI origin, Duration timeout) {
        this.client = Objects.requireNonNull(client, "client is null");
        this.origin = Objects.requireNonNull(origin, "origin is null");
        this.timeout = Objects.requireNonNull(timeout, "timeout is null");
    }

    @Override
    public CompletableFuture<Long> append(String stream, List<byte[]> records) {
        final HttpRequest request = HttpRequest.post(origin, path(stream), new AppendRequest(records), timeout);
        return PlatformRequests.send(client, request, "append to log stream " + stream, AppendResponse.class)
                .thenApply(AppendResponse::offset);
    }

    @Override
    public CompletableFuture<LogPage> read(String stream, long from, int limit, Duration wait) {
        final String query = "?from=" + from + "&limit=" + limit + "&wait_ms=" + wait.toMillis();
        final HttpRequest request = HttpRequest.get(origin, path(stream) + query, timeout.plus(wait));
        return PlatformRequests.send(client, request, "read of log stream " + stream, LogPage.class);
    }

    private static String path(String stream) {
        return "/streams/" + URLEncoder.encode(stream, StandardCharsets.UTF_8);
    }

    /**
     * Request body of an append.
     *
     * @param records contents of the records, in order
     */
    public record AppendRequest(List<byte[]> records) {}

    /**
     * Response to an append.
     *
     * @param offset offset of the first appended record
     */
    public record AppendResponse(long offset) {}
}
