package org.masticpaddle.bench;

import java.util.Map;

/**
 * Result of one request of a generated load. Immutable if the body's bytes are not changed.
 *
 * @param request request that was sent
 * @param status HTTP status, 0 if the connection failed or broke off
 * @param headers response headers by lower-case name
 * @param body bytes received, possibly incomplete if the status is 0
 * @param firstByteNanos time from sending to the first byte of the body, 0 if there was none
 * @param totalNanos time from sending to the end of the response
 */
public record LoadResult(
        LoadRequest request,
        int status,
        Map<String, String> headers,
        byte[] body,
        long firstByteNanos,
        long totalNanos) {
    /**
     * Returns whether the request was answered with a status of 2xx. A streamed answer may still end with an error event.
     *
     * @return {@code true} for a complete response of status 200 to 299
     */
    public boolean answered() {
        return status >= 200 && status < 300;
    }
}
