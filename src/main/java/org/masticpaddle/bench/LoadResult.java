package org.masticpaddle.bench;

import java.util.Map;

/**
 * What became of one request of a load. Immutable, but for the body's bytes.
 *
 * @param request the request
 * @param status HTTP status, 0 if the connection broke off
 * @param headers header values by lower-case name
 * @param body body
 * @param firstByteNanos time to the first byte of the body
 * @param totalNanos time to the end
 */
public record LoadResult(
        LoadRequest request,
        int status,
        Map<String, String> headers,
        byte[] body,
        long firstByteNanos,
        long totalNanos) {
    /**
     * Tells whether the request got a whole answer.
     *
     * @return {@code true} if so
     */
    public boolean answered() {
        return status >= 200 && status < 300;
    }
}
