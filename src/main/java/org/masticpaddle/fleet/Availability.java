package org.masticpaddle.fleet;

/**
 * Whether an upstream may take work now and, if not, why. The names of the constants are written to the decision log.
 */
public enum Availability {
    /** A request may be sent. */
    AVAILABLE,
    /** The list or the upstream itself says that it is about to stop. */
    LEAVING,
    /** The operator has evacuated the failure domain of the upstream. */
    DOMAIN_EVACUATED,
    /** The upstream rejected a request and asked for none for some time. */
    PUSHED_BACK,
    /** The upstream did not respond, a short time ago. */
    CIRCUIT_OPEN,
    /** The upstream has to respond to the request in flight before it gets another one. */
    PROBED,
    /** The share of this gateway in the limit that the upstream states is used up. */
    NO_PERMIT,
    /** The upstream is cold, and this gateway's part of the requests that it may get now is used up. */
    NO_COLD_PERMIT,
    /** The upstream has just started or recovered, and has as many requests as its answers allow. */
    PACED;

    /**
     * Returns whether the upstream is expected to take work again after a time that is known.
     *
     * @return {@code true} if a request may wait for this upstream
     */
    public boolean temporary() {
        return this == PUSHED_BACK || this == NO_PERMIT || this == NO_COLD_PERMIT;
    }
}
