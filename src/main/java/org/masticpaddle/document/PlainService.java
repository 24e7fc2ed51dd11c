package org.masticpaddle.document;

import java.util.List;
import java.util.Objects;

/**
 * Declaration of a plain service, one that is not a model. Immutable and thread-safe.
 *
 * @param name name in the path {@code /services/NAME/}
 * @param service service in the instance list whose upstreams run it
 * @param nonIdempotent requests that must run at most once, each a method and a path prefix, for example
 *     {@code POST /bookings}
 * @param checksIdempotencyKey whether the upstreams themselves suppress duplicate idempotency keys
 * @param priceMicros price of a request, in millionths of the currency unit
 */
public record PlainService(
        String name, String service, List<String> nonIdempotent, boolean checksIdempotencyKey, long priceMicros) {
    /** Checks the arguments and copies the list. */
    public PlainService {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(service, "service is null");
        nonIdempotent = List.copyOf(nonIdempotent);
    }

    /**
     * Returns whether a request may run more than once.
     *
     * @param method HTTP method
     * @param path path relative to the service, with a leading slash
     * @return {@code false} if the request must run at most once
     */
    public boolean idempotent(String method, String path) {
        return nonIdempotent.stream().noneMatch(rule -> (method + " " + path).startsWith(rule));
    }
}
