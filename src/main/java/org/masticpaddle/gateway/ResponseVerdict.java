package org.masticpaddle.gateway;

import org.masticpaddle.routes.Route;

/** What the head of an upstream's answer means for the request. */
enum ResponseVerdict {
    /** The answer is relayed as it is: a success, or a failure of the request itself. */
    RELAY(false, false),
    /** The upstream states that it did not run the request. */
    NOT_RUN(true, false),
    /** The upstream ran the request and failed. */
    FAILED(true, true),
    /** The answer belongs to another request or is none of the upstream's; the request may have run. */
    SPOILT(true, true);

    private static final int MISDIRECTED = 421;
    private static final int REQUEST_TIMEOUT = 408;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    private final boolean failure;
    private final boolean ran;

    ResponseVerdict(boolean failure, boolean ran) {
        this.failure = failure;
        this.ran = ran;
    }

    boolean failure() {
        return failure;
    }

    boolean mayHaveRun() {
        return ran;
    }

    /**
     * Judges an answer by its head.
     *
     * @param route route of the request
     * @param requestId identifier of the request
     * @param status HTTP status
     * @param encoded whether the body is encoded, which upstreams never do
     * @param facts what the headers say
     * @return the verdict
     */
    static ResponseVerdict of(Route route, String requestId, int status, boolean encoded, ResponseMetadata facts) {
        if (facts.requestId().isPresent() && !facts.requestId().get().equals(requestId)) {
            return SPOILT;
        }
        if (facts.notRun() || status == MISDIRECTED) {
            return NOT_RUN;
        }
        if (status >= 200 && status < 300) {
            return facts.signed() && !encoded ? RELAY : SPOILT;
        }
        if (status == UNAVAILABLE || status == TOO_MANY_REQUESTS || status == REQUEST_TIMEOUT) {
            // To callers these say "not run", which the upstream did not state.
            return FAILED;
        }
        if (status >= 500) {
            return route.repeatable() || !facts.signed() ? FAILED : RELAY;
        }
        return facts.signed() ? RELAY : SPOILT;
    }
}
