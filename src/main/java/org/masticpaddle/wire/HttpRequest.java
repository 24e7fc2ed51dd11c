package org.masticpaddle.wire;

import java.net.URI;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;

/**
 * One HTTP request. Immutable, but for the body's bytes, which nobody changes.
 *
 * @param origin scheme, host and port of the peer
 * @param method HTTP method
 * @param path path with query
 * @param headers header names and values
 * @param body body, empty for none
 * @param idleTimeout time without a byte of the answer after which the call fails
 * @param freshConnection whether to open a new connection; an idle one may have gone silent
 */
public record HttpRequest(
        URI origin,
        String method,
        String path,
        Map<String, String> headers,
        byte[] body,
        Duration idleTimeout,
        boolean freshConnection) {
    private static final byte[] NO_BODY = new byte[0];

    /** Checks the arguments and copies the headers. */
    public HttpRequest {
        Objects.requireNonNull(origin, "origin is null");
        Objects.requireNonNull(method, "method is null");
        Objects.requireNonNull(path, "path is null");
        Objects.requireNonNull(body, "body is null");
        Objects.requireNonNull(idleTimeout, "idleTimeout is null");
        headers = Map.copyOf(headers);
    }

    /**
     * Builds a GET request.
     *
     * @param origin scheme, host and port of the peer
     * @param path path with query
     * @param idleTimeout time without a byte after which the call fails
     * @return the request
     */
    public static HttpRequest get(URI origin, String path, Duration idleTimeout) {
        return new HttpRequest(origin, "GET", path, Map.of(), NO_BODY, idleTimeout, false);
    }

    /**
     * Builds a POST request with a JSON body.
     *
     * @param origin scheme, host and port of the peer
     * @param path path with query
     * @param message the message to encode
     * @param idleTimeout time without a byte after which the call fails
     * @return the request
     */
    public static HttpRequest post(URI origin, String path, Object message, Duration idleTimeout) {
        return new HttpRequest(
                origin,
                "POST",
                path,
                Map.of("Content-Type", "application/json"),
                Json.encode(message),
                idleTimeout,
                false);
    }

    /**
     * Returns the same request for a new connection.
     *
     * @return the request
     */
    public HttpRequest onFreshConnection() {
        return new HttpRequest(origin, method, path, headers, body, idleTimeout, true);
    }

    /**
     * Returns the same request with other headers.
     *
     * @param replacement all headers
     * @return the request
     */
    public HttpRequest withHeaders(Map<String, String> replacement) {
        return new HttpRequest(origin, method, path, replacement, body, idleTimeout, freshConnection);
    }
}
