package org.masticpaddle.gateway;

/** How an attempt ended. */
enum AttemptEnd {
    /** The upstream gave a usable answer. */
    ANSWERED,
    /** The gateway dropped a usable draft for the answer of a larger model. */
    DRAFT_DROPPED,
    /** The upstream failed after the request may have run. */
    FAILED,
    /** The connection ended before the answer was complete; the request may have run. */
    LOST,
    /** The request did not run. */
    NOT_RUN,
    /** No connection to the upstream could be opened, so that the request did not run. */
    UNREACHABLE,
    /** The gateway cancelled the attempt for a reason other than a failure of the upstream. */
    CANCELLED
}
