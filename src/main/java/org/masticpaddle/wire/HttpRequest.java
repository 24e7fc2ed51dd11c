package org.masticpaddle.wire;

import java.net.URI;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * An HTTP request. Immutable, provided that nobody modifies the body array.
 *
 * @param origin scheme, host and port of the peer
 * @param method HTTP method
 * @param path path with query
 * @param headers header values by name
 * @param body body, empty for none
 * @param idleTimeout time without a byte of the response after which the request fails
 * @param freshConnection whether to open a new connection instead of reusing an idle one, whose peer may no longer
 *     respond
 * @param responseLimit limit on the time to the last byte of the response, empty if only the time between two bytes is limited
 */
public record HttpRequest(
        URI origin,
        String method,
        String path,
        Map<String, String> headers,
        byte[] body,
        Duration idleTimeout,
        boolean freshConnection,
        Optional<ResponseLimit> responseLimit) {
    private static final byte[] NO_BODY = new byte[0];

    /** Checks the arguments and copies the headers. */
    public HttpRequest {
        Objects.requireNonNull(origin, "origin is null");
        Objects.requireNonNull(method, "method is null");
        Objects.requireNonNull(path, "path is null");
        Objects.requireNonNull(body, "body is null");
        Objects.requireNonNull(idleTimeout, "idleTimeout is null");
        Objects.requireNonNull(responseLimit, "responseLimit is null");
        headers = Map.copyOf(headers);
    }

    /**
     * Creates a request without a limit on the time to the last byte of the response.
     *
     * @param origin scheme, host and port of the peer
     * @param method HTTP method
     * @param path path with query
     * @param headers header values by name
     * @param body body, empty for none
     * @param idleTimeout time without a byte of the response after which the request fails
     * @param freshConnection whether to open a new connection instead of reusing an idle one
     */
    public HttpRequest(
            URI origin,
            String method,
            String path,
            Map<String, String> headers,
            byte[] body,
            Duration idleTimeout,
            boolean freshConnection) {
        this(origin, method, path, headers, body, idleTimeout, freshConnection, Optional.empty());
    }

    /**
     * Creates a GET request without headers.
     *
     * @param origin scheme, host and port of the peer
     * @param path path with query
     * @param idleTimeout time without a byte of the response after which the request fails
     * @return request without a body, which may reuse an idle connection
     */
    public static HttpRequest get(URI origin, String path, Duration idleTimeout) {
        return new HttpRequest(origin, "GET", path, Map.of(), NO_BODY, idleTimeout, false);
    }

    /**
     * Creates a POST request with a JSON body.
     *
     * @param origin scheme, host and port of the peer
     * @param path path with query
     * @param message record or tree to encode as JSON
     * @param idleTimeout time without a byte of the response after which the request fails
     * @return request that may reuse an idle connection
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
     * Returns a copy that opens a new connection instead of reusing an idle one.
     *
     * @return copy with {@code freshConnection} set
     */
    public HttpRequest onFreshConnection() {
        return new HttpRequest(origin, method, path, headers, body, idleTimeout, true, responseLimit);
    }

    /**
     * Returns a copy with other headers.
     *
     * @param replacement header values by name, which replace all present headers
     * @return copy with these headers
     */
    public HttpRequest withHeaders(Map<String, String> replacement) {
        return new HttpRequest(origin, method, path, replacement, body, idleTimeout, freshConnection, responseLimit);
    }

    /**
     * Returns a copy whose response must end within a limit.
     *
     * @param limit limit on the time from the sending of the request to the last byte of its response
     * @return copy with this limit in addition to the idle timeout
     */
    public HttpRequest withResponseLimit(ResponseLimit limit) {
        return new HttpRequest(origin, method, path, headers, body, idleTimeout, freshConnection, Optional.of(limit));
    }
}
