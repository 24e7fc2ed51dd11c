package org.masticpaddle.gateway;

import java.util.Map;

import org.masticpaddle.wire.Json;

/** Responses that the gateway generates itself instead of relaying an upstream's. Thread-safe, since it has no state. */
final class LocalResponses {
    private LocalResponses() {}

    /** Encodes the JSON body of an error response. */
    static byte[] errorBody(int status, String message) {
        return Json.encode(Map.of("error", Map.of("status", status, "message", message)));
    }

    /** Returns the retry-after header, in seconds with two decimals. */
    static Map<String, String> retryAfterHeader(double seconds) {
        final long hundredths = Math.round(seconds * 100);
        return Map.of("retry-after", hundredths / 100 + "." + hundredths / 10 % 10 + hundredths % 10);
    }
}
