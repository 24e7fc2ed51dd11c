package org.masticpaddle.gateway;

/** How an attempt ended. */
enum AttemptEnd {
    /** The upstream gave a usable answer. */
    ANSWERED(true),
    /** The gateway dropped a usable draft for the answer of a larger model. */
    DRAFT_DROPPED(true),
    /** The upstream failed after the request may have run. */
    FAILED(true),
    /** The connection ended before the answer was complete; the request may have run. */
    LOST(true),
    /** The request did not run. */
    NOT_RUN(false),
    /** No connection to the upstream could be opened, so that the request did not run. */
    UNREACHABLE(false),
    /** The gateway cancelled the attempt for a reason other than a failure of the upstream; the request may have run. */
    CANCELLED(true);

    private final boolean mayHaveRun;

    AttemptEnd(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    /** Returns whether the upstream may have run the request. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }
}
