package org.masticpaddle.platform;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

import org.masticpaddle.wire.HttpClient;
import org.masticpaddle.wire.HttpRequest;

/**
 * HTTP binding of an engine's control interface: {@code GET /engine/state}, {@code POST /engine/orders}, {@code GET
 * /engine/events?after=N} and {@code GET /engine/load}. Thread-safe.
 */
public final class HttpEngineControl implements EngineControl {
    private final HttpClient client;
    private final URI origin;
    private final Duration timeout;

    /**
     * Creates a binding.
     *
     * @param client client that sends the requests
     * @param origin scheme, host and port of the engine
     * @param timeout time without a received byte after which a request fails
     */
    public HttpEngineControl(HttpClient client, URI origin, Duration timeout) {
        this.client = Objects.requireNonNull(client, "client is null");
        this.origin = Objects.requireNonNull(origin, "origin is null");
        this.timeout = Objects.requireNonNull(timeout, "timeout is null");
    }

    @Override
    public CompletableFuture<EngineState> state() {
        final HttpRequest request = HttpRequest.get(origin, "/engine/state", timeout);
        return PlatformRequests.send(client, request, "read of the engine's state", EngineState.class);
    }

    @Override
    public CompletableFuture<EngineState> order(EngineOrder order) {
        final HttpRequest request = HttpRequest.post(origin, "/engine/orders", order, timeout);
        final String operation = "order " + order.kind() + " " + order.subject();
        return PlatformRequests.send(client, request, operation, EngineState.class);
    }

    @Override
    public CompletableFuture<List<CacheEvent>> cacheEvents(long afterSequence) {
        final HttpRequest request = HttpRequest.get(origin, "/engine/events?after=" + afterSequence, timeout);
        return PlatformRequests.send(client, request, "read of cache events", CacheEvents.class)
                .thenApply(CacheEvents::events);
    }

    /**
     * Reads the engine's load report, which lags behind the actual load.
     *
     * @return the report; completes exceptionally with {@link PlatformException}
     */
    public CompletableFuture<EngineLoad> load() {
        final HttpRequest request = HttpRequest.get(origin, "/engine/load", timeout);
        return PlatformRequests.send(client, request, "read of the engine's load", EngineLoad.class);
    }

    /**
     * Response of {@code GET /engine/events}. Immutable.
     *
     * @param events events in ascending order of their sequence numbers
     */
    public record CacheEvents(List<CacheEvent> events) {
        /** Makes a defensive copy of the events. */
        public CacheEvents {
            events = List.copyOf(events);
        }
    }

    /**
     * Response of {@code GET /engine/load}. Immutable.
     *
     * @param timeMillis time of the report by the engine's clock, in milliseconds since 1970
     * @param running number of running requests at that time
     * @param waiting number of queued requests at that time
     * @param slots maximum number of requests that run concurrently
     * @param cachedBlocks number of blocks in the prefix cache
     */
    public record EngineLoad(long timeMillis, int running, int waiting, int slots, int cachedBlocks) {}
}
