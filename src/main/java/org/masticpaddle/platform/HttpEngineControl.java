package org.masticpaddle.platform;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

import org.masticpaddle.wire.HttpRequest;
import org.masticpaddle.wire.HttpClient;

/**
 * HTTP binding of an engine's control interface: {@code GET /engine/state}, {@code POST /engine/orders}, {@code GET
 * /engine/events?after=N} and {@code GET /engine/load}. Thread-safe.
 */
public final class HttpEngineControl implements EngineControl {
    private final HttpClient client;
    private final URI origin;
    private final Duration timeout;

    /**
     * Creates the binding.
     *
     * @param client HTTP client
     * @param origin scheme, host and port of the engine
     * @param timeout time without a byte after which a call fails
     */
    public HttpEngineControl(HttpClient client, URI origin, Duration timeout) {
        this.client = Objects.requireNonNull(client, "client is null");
        this.origin = Objects.requireNonNull(origin, "origin is null");
        this.timeout = Objects.requireNonNull(timeout, "timeout is null");
    }

    @Override
    public CompletableFuture<EngineState> state() {
        final HttpRequest call = HttpRequest.get(origin, "/engine/state", timeout);
        return PlatformRequests.send(client, call, "read of the engine's state", EngineState.class);
    }

    @Override
    public CompletableFuture<EngineState> order(EngineOrder order) {
        final HttpRequest call = HttpRequest.post(origin, "/engine/orders", order, timeout);
        final String operation = "order " + order.kind() + " " + order.subject();
        return PlatformRequests.send(client, call, operation, EngineState.class);
    }

    @Override
    public CompletableFuture<List<CacheEvent>> cacheEvents(long afterSequence) {
        final HttpRequest call = HttpRequest.get(origin, "/engine/events?after=" + afterSequence, timeout);
        return PlatformRequests.send(client, call, "read of cache events", CacheEvents.class)
                .thenApply(CacheEvents::events);
    }

    /**
     * Reads the engine's load report, which lags.
     *
     * @return the report; fails with {@link PlatformException}
     */
    public CompletableFuture<EngineLoad> load() {
        final HttpRequest call = HttpRequest.get(origin, "/engine/load", timeout);
        return PlatformRequests.send(client, call, "read of the engine's load", EngineLoad.class);
    }

    /**
     * Answer of {@code GET /engine/events}. Immutable.
     *
     * @param events events in order
     */
    public record CacheEvents(List<CacheEvent> events) {
        /** Copies the events. */
        public CacheEvents {
            events = List.copyOf(events);
        }
    }

    /**
     * Answer of {@code GET /engine/load}. Immutable.
     *
     * @param timeMillis time of the report by the engine's clock, in milliseconds since 1970
     * @param running requests that ran
     * @param waiting requests that waited
     * @param slots requests that run at the same time
     * @param cachedBlocks blocks in the prefix cache
     */
    public record EngineLoad(long timeMillis, int running, int waiting, int slots, int cachedBlocks) {}
}
