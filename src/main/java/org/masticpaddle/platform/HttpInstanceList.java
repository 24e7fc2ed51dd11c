package org.masticpaddle.platform;

import java.net.URI;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

import org.masticpaddle.wire.HttpRequest;
import org.masticpaddle.wire.HttpClient;

/** HTTP binding of the instance list: {@code GET /instances?after=VERSION} answers {@link InstanceChanges}. Thread-safe. */
public final class HttpInstanceList implements InstanceList {
    private final HttpClient client;
    private final URI origin;
    private final Duration timeout;

    /**
     * Creates the binding.
     *
     * @param client HTTP client
     * @param origin scheme, host and port of the list
     * @param timeout time without a byte after which a call fails
     */
    public HttpInstanceList(HttpClient client, URI origin, Duration timeout) {
        this.client = Objects.requireNonNull(client, "client is null");
        this.origin = Objects.requireNonNull(origin, "origin is null");
        this.timeout = Objects.requireNonNull(timeout, "timeout is null");
    }

    @Override
    public CompletableFuture<InstanceChanges> changes(long afterVersion) {
        final HttpRequest call = HttpRequest.get(origin, "/instances?after=" + afterVersion, timeout);
        return PlatformRequests.send(client, call, "read of the instance list", InstanceChanges.class);
    }
}
