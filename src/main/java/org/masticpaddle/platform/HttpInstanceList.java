package org.masticpaddle.platform;

import java.net.URI;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

import org.masticpaddle.wire.HttpClient;
import org.masticpaddle.wire.HttpRequest;

/**
 * HTTP binding of the instance list: {@code GET /instances?after=VERSION} returns {@link InstanceChanges}. Thread-safe.
 */
public final class HttpInstanceList implements InstanceList {
    private final HttpClient client;
    private final URI origin;
    private final Duration timeout;

    /**
     * Creates a binding.
     *
     * @param client client that sends the requests
     * @param origin scheme, host and port of the instance list
     * @param timeout time without a received byte after which a request fails
     */
    public HttpInstanceList(HttpClient client, URI origin, Duration timeout) {
        this.client = Objects.requireNonNull(client, "client is null");
        this.origin = Objects.requireNonNull(origin, "origin is null");
        this.timeout = Objects.requireNonNull(timeout, "timeout is null");
    }

    @Override
    public CompletableFuture<InstanceChanges> changes(long afterVersion) {
        final HttpRequest request = HttpRequest.get(origin, "/instances?after=" + afterVersion, timeout);
        return PlatformRequests.send(client, request, "read of the instance list", InstanceChanges.class);
    }
}
