package org.masticpaddle.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;

import io.undertow.server.HttpServerExchange;
import org.masticpaddle.platform.HttpRatingService;
import org.masticpaddle.platform.RatingService.RatingRequest;
import org.masticpaddle.wire.Hashing;
import org.masticpaddle.wire.Json;

/**
 * Stand-in for the service that rates answers: the true quality that an engine stand-in writes into its answer, less
 * what the kind makes harder, with noise that depends on the request alone. An answer without a quality, for example a
 * broken one, is rated 0. Thread-safe.
 */
public final class RatingStandIn extends HttpStandIn {
    private static final int MAX_JOURNAL = 200_000;
    private static final int NOISE_STEPS = 1 << 20;

    private final double noise;
    private final Map<String, Double> kindOffsets;
    private final Deque<Entry> journal = new ArrayDeque<>();
    private final StandInServer server = new StandInServer("rating", faults(), exchange -> journal(), this::handle);

    /**
     * Creates a rating service.
     *
     * @param noise width of the uniform noise, 0 for none
     * @param kindOffsets what is added to the quality, by request kind
     */
    public RatingStandIn(double noise, Map<String, Double> kindOffsets) {
        this.noise = noise;
        this.kindOffsets = Map.copyOf(kindOffsets);
    }

    /**
     * Lists the ratings given.
     *
     * @return the entries in the order of arrival
     */
    public List<Entry> journal() {
        synchronized (journal) {
            return List.copyOf(journal);
        }
    }

    private void handle(HttpServerExchange exchange, byte[] body) {
        if (!"/ratings".equals(exchange.getRequestPath())) {
            StandInServer.respondNotFound(exchange);
            return;
        }
        final RatingRequest request = Json.decode(body, RatingRequest.class);
        final double quality = rate(request);
        synchronized (journal) {
            journal.add(new Entry(request.requestId(), request.version(), request.kind(), quality));
            if (journal.size() > MAX_JOURNAL) {
                journal.removeFirst();
            }
        }
        server.respond(exchange, 200, new HttpRatingService.Rating(quality));
    }

    private double rate(RatingRequest request) {
        final String answer = request.answer() == null ? "" : request.answer();
        final double quality = AnswerText.parseQuality(answer).orElse(-1);
        if (quality < 0) {
            return 0;
        }
        final long step = Math.floorMod(Hashing.hash64("rating " + request.requestId()), NOISE_STEPS);
        final double offset = request.kind() == null ? 0 : kindOffsets.getOrDefault(request.kind(), 0.0);
        final double rated = quality + offset + noise * ((double) step / NOISE_STEPS - 0.5);
        return Math.max(0, Math.min(1, rated));
    }

    /**
     * One rating. Immutable.
     *
     * @param requestId identifier of the request
     * @param version version that answered
     * @param kind request kind
     * @param quality quality between 0 and 1
     */
    public record Entry(String requestId, String version, String kind, double quality) {}

    @Override
    StandInServer server() {
        return server;
    }
}
