package org.masticpaddle.gateway;

/**
 * Order of urgency of the requests of one service. Immutable and thread-safe.
 *
 * <p>Load pattern: a burst of one kind of request at upstreams that all kinds share. Where all organisations have the same rank, which
 * overrides that of the route, a burst of background work otherwise stands before urgent requests that arrive later.
 */
public enum UrgencyOrder {
    /** By rank alone: that of the organisation, or of the route if the organisation has none. */
    RANK {
        @Override
        int within(AdmittedRequest request) {
            return 0;
        }

        @Override
        int reservationRank(AdmittedRequest request) {
            return request.rank();
        }
    },
    /** By rank, and among requests of organisations of equal rank by the rank of their routes. */
    ROUTE_WITHIN_RANK {
        @Override
        int within(AdmittedRequest request) {
            return request.organisationRanked()
                    ? Math.min(LEVELS_WITHIN_RANK - 1, request.route().rank())
                    : 0;
        }

        @Override
        int reservationRank(AdmittedRequest request) {
            return request.organisationRanked()
                    ? Math.max(0, request.rank() + request.route().rank() - STANDARD_RANK)
                    : request.rank();
        }
    };

    /** Number of levels that a rank is divided into. */
    private static final int LEVELS_WITHIN_RANK = 3;
    /** Rank of a route that leaves the rank of its organisation as it is. */
    private static final int STANDARD_RANK = 1;

    /** Returns the level of a request within its rank: 0 to 2, 0 is the most urgent. */
    abstract int within(AdmittedRequest request);

    /**
     * Returns the rank by which the largest model is reserved under load, 0 for the most urgent. The ranks of the organisation and of the
     * route count alike, unlike in {@link #position}.
     */
    abstract int reservationRank(AdmittedRequest request);

    /** Returns the position of a request among all ranks and levels, 0 for the most urgent. */
    int position(AdmittedRequest request) {
        return request.rank() * LEVELS_WITHIN_RANK + within(request);
    }
}
