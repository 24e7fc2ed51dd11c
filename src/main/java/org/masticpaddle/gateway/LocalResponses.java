package org.masticpaddle.gateway;

import java.util.Map;

import org.masticpaddle.wire.Json;

/** Answers that the gateway gives itself. Thread-safe, having no state. */
final class LocalResponses {
    private LocalResponses() {}

    static byte[] body(int status, String message) {
        return Json.encode(Map.of("error", Map.of("status", status, "message", message)));
    }

    static Map<String, String> retryAfter(double seconds) {
        final long hundredths = Math.round(seconds * 100);
        return Map.of("retry-after", hundredths / 100 + "." + hundredths / 10 % 10 + hundredths % 10);
    }
}
