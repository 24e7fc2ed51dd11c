package org.masticpaddle.platform;

import java.net.URI;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

import org.masticpaddle.wire.HttpClient;
import org.masticpaddle.wire.HttpRequest;

/**
 * HTTP binding of the weight store: {@code POST /reservations} with {@code {"version","requester"}} returns {@code
 * {"waitMillis":N}}. Thread-safe.
 */
public final class HttpWeightStore implements WeightStore {
    private final HttpClient client;
    private final URI origin;
    private final Duration timeout;

    /**
     * Creates a binding.
     *
     * @param client client that sends the requests
     * @param origin scheme, host and port of the weight store
     * @param timeout time without a received byte after which a request fails
     */
    public HttpWeightStore(HttpClient client, URI origin, Duration timeout) {
        this.client = Objects.requireNonNull(client, "client is null");
        this.origin = Objects.requireNonNull(origin, "origin is null");
        this.timeout = Objects.requireNonNull(timeout, "timeout is null");
    }

    @Override
    public CompletableFuture<Long> reserve(String version, String requester) {
        final HttpRequest request =
                HttpRequest.post(origin, "/reservations", new ReservationRequest(version, requester), timeout);
        return PlatformRequests.send(client, request, "reservation of a load", ReservationResponse.class)
                .thenApply(ReservationResponse::waitMillis);
    }

    /**
     * Request body of {@code POST /reservations}.
     *
     * @param version version to load, as {@code model/version}
     * @param requester identifier of the instance that will load the version
     */
    public record ReservationRequest(String version, String requester) {}

    /**
     * Response of {@code POST /reservations}.
     *
     * @param waitMillis milliseconds to wait before the load may start, 0 if it may start immediately
     */
    public record ReservationResponse(long waitMillis) {}
}
