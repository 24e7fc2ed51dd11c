package org.masticpaddle.platform;

import java.net.URI;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

import org.masticpaddle.wire.HttpRequest;
import org.masticpaddle.wire.HttpClient;

/**
 * HTTP binding of the rating service: {@code POST /ratings} with a {@link RatingService.RatingRequest} answers {@code
 * {"quality":0.8}}. Thread-safe.
 */
public final class HttpRatingService implements RatingService {
    private final HttpClient client;
    private final URI origin;
    private final Duration timeout;

    /**
     * Creates the binding.
     *
     * @param client HTTP client
     * @param origin scheme, host and port of the rating service
     * @param timeout time without a byte after which a call fails
     */
    public HttpRatingService(HttpClient client, URI origin, Duration timeout) {
        this.client = Objects.requireNonNull(client, "client is null");
        this.origin = Objects.requireNonNull(origin, "origin is null");
        this.timeout = Objects.requireNonNull(timeout, "timeout is null");
    }

    @Override
    public CompletableFuture<Double> rate(RatingRequest request) {
        final HttpRequest call = HttpRequest.post(origin, "/ratings", request, timeout);
        return PlatformRequests.send(client, call, "rating of an answer", Rating.class)
                .thenApply(HttpRatingService::checked);
    }

    private static Double checked(Rating rating) {
        if (rating.quality == null || !(rating.quality >= 0 && rating.quality <= 1)) {
            throw new PlatformException(
                    PlatformException.Effect.POSSIBLE, "rating " + rating.quality + " is not between 0 and 1", null);
        }
        return rating.quality;
    }

    /**
     * Answer of {@code POST /ratings}.
     *
     * @param quality quality between 0 and 1
     */
    public record Rating(Double quality) {}
}
