package org.masticpaddle.gateway;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;

import org.masticpaddle.routes.KeyOwner;
import org.masticpaddle.routes.Route;
import org.masticpaddle.routes.RoutingTable;
import org.masticpaddle.wire.RequestBody;

/**
 * A request that passed routing and authentication. Immutable, except that the body is released at the end of the
 * request at the latest.
 *
 * @param table routing table by which the request was admitted; it applies until the final answer
 * @param route route that matched
 * @param keyOwner owner of the API key, empty on routes that need none
 * @param request request metadata from the headers
 * @param method HTTP method
 * @param target path with query, as the caller sent it
 * @param headers request headers by lower-case name
 * @param body request body, of length 0 if there is none
 * @param receivedNanos arrival time by the scheduler's clock, in nanoseconds
 */
record AdmittedRequest(
        RoutingTable table,
        Route route,
        Optional<KeyOwner> keyOwner,
        InboundRequest request,
        String method,
        String target,
        Map<String, String> headers,
        RequestBody body,
        long receivedNanos) {
    /** Checks the arguments and copies the headers. */
    AdmittedRequest {
        Objects.requireNonNull(table, "table is null");
        Objects.requireNonNull(route, "route is null");
        Objects.requireNonNull(keyOwner, "keyOwner is null");
        Objects.requireNonNull(request, "request is null");
        headers = Map.copyOf(headers);
    }

    /**
     * Gives the body back if the request cannot be sent again now that an upstream answers it: not on routes whose requests must
     * run at most once.
     */
    void releaseBodyOnAnswer() {
        if (!route.repeatable()) {
            body.release();
        }
    }

    /** Returns the time within which the caller must have its final answer, in milliseconds. */
    long timeoutMillis() {
        return Math.min(request.timeoutMillis().orElse(Long.MAX_VALUE), route.timeoutMillis());
    }

    /** Returns whether the rank is that of the organisation and not of the route. */
    boolean organisationRanked() {
        return keyOwner.map(KeyOwner::rank).filter(OptionalInt::isPresent).isPresent();
    }

    /** Returns the rank of the caller, or of the route if the caller has none; 0 is the most urgent. */
    int rank() {
        return keyOwner.map(KeyOwner::rank)
                .filter(OptionalInt::isPresent)
                .map(OptionalInt::getAsInt)
                .orElse(route.rank());
    }
}
