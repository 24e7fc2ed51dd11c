package org.masticpaddle.fleet;

/** Effect of an operator's record on the {@link EvacuatedDomains}. The names are written to the decision log. */
public enum EvacuationChange {
    /** The domain is evacuated from now on. */
    ORDERED,
    /** The domain is in use again. */
    WITHDRAWN,
    /** The record is older than the one that applies to the domain. */
    STALE,
    /** The domain was evacuated, or in use, before. */
    UNCHANGED,
    /** The order was ignored, since too many domains are evacuated. */
    TOO_MANY;

    /**
     * Returns whether the upstreams of the domain may or may not get requests other than before.
     *
     * @return {@code true} if the order was put in force or taken back
     */
    public boolean effective() {
        return this == ORDERED || this == WITHDRAWN;
    }
}
