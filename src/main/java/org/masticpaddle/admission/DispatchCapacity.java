package org.masticpaddle.admission;

import org.masticpaddle.wire.Rank;

/** Tells which versions of which pools can take one more request now. */
@FunctionalInterface
public interface DispatchCapacity {
    /**
     * Tells whether an upstream can take one more request.
     *
     * @param pool the pool
     * @param version the version, or the empty string for a plain service
     * @param rank rank of the request, because a few places may be reserved for higher ranks
     * @return {@code true} if there is a free place
     */
    boolean hasCapacity(String pool, String version, Rank rank);
}
