package org.masticpaddle.gateway;

import org.masticpaddle.routes.Route;

/** Classification of an upstream's response by its status and headers. The names of the constants are written to the decision log. */
enum ResponseVerdict {
    /** The response is relayed unchanged: a success, or a failure that the request itself caused. */
    RELAY(false, false),
    /** The upstream states that it did not run the request. */
    NOT_RUN(true, false),
    /** The upstream failed the request, which may have run. */
    FAILED(true, true),
    /** The response is invalid: it belongs to another request or is not from the upstream. The request may have run. */
    SPOILT(true, true);

    private static final int OK = 200;
    private static final int MISDIRECTED = 421;
    private static final int REQUEST_TIMEOUT = 408;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    private final boolean failure;
    private final boolean mayHaveRun;

    ResponseVerdict(boolean failure, boolean mayHaveRun) {
        this.failure = failure;
        this.mayHaveRun = mayHaveRun;
    }

    boolean failure() {
        return failure;
    }

    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /**
     * Returns the classification of a response that has to continue a stream whose beginning the caller has received.
     *
     * @param status HTTP status of the response
     * @return {@link #FAILED} for a response that could be relayed but is no stream, this classification otherwise
     */
    ResponseVerdict continuingStream(int status) {
        return this == RELAY && status != OK ? FAILED : this;
    }

    /**
     * Classifies a response by its status and headers.
     *
     * @param route route of the request
     * @param requestId identifier of the request
     * @param status HTTP status
     * @param encoded whether the body has a content encoding, which upstreams never use
     * @param metadata metadata from the response headers
     * @param connectionKept whether the connection may have carried an earlier request, a copy of whose response may arrive
     *     in place of this one
     * @return classification of the response
     */
    static ResponseVerdict classify(
            Route route,
            String requestId,
            int status,
            boolean encoded,
            ResponseMetadata metadata,
            boolean connectionKept) {
        if (!metadata.requestId().map(requestId::equals).orElse(!connectionKept)) {
            return SPOILT;
        }
        if (metadata.notRun() || status == MISDIRECTED) {
            return NOT_RUN;
        }
        if (status >= 200 && status < 300) {
            return metadata.signed() && !encoded ? RELAY : SPOILT;
        }
        if (status == UNAVAILABLE || status == TOO_MANY_REQUESTS || status == REQUEST_TIMEOUT) {
            // Relayed to a caller, these statuses would mean "not run", which the upstream did not state.
            return FAILED;
        }
        if (status >= 500) {
            return route.repeatable() || !metadata.signed() ? FAILED : RELAY;
        }
        return metadata.signed() ? RELAY : SPOILT;
    }
}
