package org.masticpaddle.admission;

import org.masticpaddle.wire.Rank;

/** Reports whether the upstreams of a pool can take one more request now. */
@FunctionalInterface
public interface DispatchCapacity {
    /**
     * Returns whether an upstream can take one more request.
     *
     * @param pool name of the service whose upstreams would run the request
     * @param version the version, or the empty string for a plain service
     * @param rank rank of the request; a few slots may be reserved for higher ranks
     * @return {@code true} if the request can be dispatched
     */
    boolean hasCapacity(String pool, String version, Rank rank);
}
