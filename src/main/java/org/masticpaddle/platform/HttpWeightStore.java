package org.masticpaddle.platform;

import java.net.URI;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

import org.masticpaddle.wire.HttpRequest;
import org.masticpaddle.wire.HttpClient;

/**
 * HTTP binding of the weight store: {@code POST /reservations} with {@code {"version","requester"}} answers {@code
 * {"waitMillis":N}}. Thread-safe.
 */
public final class HttpWeightStore implements WeightStore {
    private final HttpClient client;
    private final URI origin;
    private final Duration timeout;

    /**
     * Creates the binding.
     *
     * @param client HTTP client
     * @param origin scheme, host and port of the weight store
     * @param timeout time without a byte after which a call fails
     */
    public HttpWeightStore(HttpClient client, URI origin, Duration timeout) {
        this.client = Objects.requireNonNull(client, "client is null");
        this.origin = Objects.requireNonNull(origin, "origin is null");
        this.timeout = Objects.requireNonNull(timeout, "timeout is null");
    }

    @Override
    public CompletableFuture<Long> reserve(String version, String requester) {
        final HttpRequest call = HttpRequest.post(origin, "/reservations", new ReservationRequest(version, requester), timeout);
        return PlatformRequests.send(client, call, "reservation of a load", ReservationResponse.class)
                .thenApply(ReservationResponse::waitMillis);
    }

    /**
     * Body of {@code POST /reservations}.
     *
     * @param version version to load, {@code model/version}
     * @param requester instance that will load it
     */
    public record ReservationRequest(String version, String requester) {}

    /**
     * Answer of {@code POST /reservations}.
     *
     * @param waitMillis milliseconds to wait before the load may start, 0 for now
     */
    public record ReservationResponse(long waitMillis) {}
}
