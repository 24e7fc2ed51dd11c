package org.masticpaddle.gateway;

import java.util.Locale;
import java.util.Map;

import org.apache.commons.rng.UniformRandomProvider;
import org.masticpaddle.wire.Json;

/** Answers that the gateway gives itself. Thread-safe, having no state. */
final class OwnAnswers {
    /** Shortest advice to come back, about the time in which an upstream finishes a short request. */
    private static final double SHORTEST_SECONDS = 0.3;
    /** Spread of the advice, so that callers that were refused together do not come back together. */
    private static final double SPREAD_SECONDS = 0.6;

    private OwnAnswers() {}

    static byte[] body(int status, String message) {
        return Json.encode(Map.of("error", Map.of("status", status, "message", message)));
    }

    static Map<String, String> retryAfter(UniformRandomProvider random) {
        final double seconds = SHORTEST_SECONDS + random.nextDouble() * SPREAD_SECONDS;
        return Map.of("retry-after", String.format(Locale.ROOT, "%.2f", seconds));
    }
}
