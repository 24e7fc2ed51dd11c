package org.masticpaddle.fleet;

/**
 * Limit of the requests that a cold upstream of a service may get in any second, from all gateways together. Immutable.
 *
 * <p>Load pattern: many gateways find the same empty upstream at the same time. They do not talk to each other, so each issues
 * permits at regular intervals, at a rate by its share of the traffic and at times that are independent of those of the others.
 * The number of permits that all of them can use in one second is then the sum of independent numbers, each of which is its mean
 * rounded up or down. Invariant: with permits at the rate of {@link #permitsPerSecond}, and as long as the shares add up to
 * 1.15, those of gateways with waiting requests counted 1.1 times, that sum exceeds {@link #maxRequests} in fewer than one of a
 * million seconds, also if every permit is used.
 *
 * @param coldSeconds time in seconds for which an upstream is cold after it has started
 * @param requestsPerSecond requests a second that a cold upstream accepts; 0 for no limit
 * @param overage factor by which they may be exceeded; 0 for no limit
 * @param slack requests in a second by which they may be exceeded beyond that
 */
public record ColdLimit(double coldSeconds, double requestsPerSecond, double overage, double slack) {
    /** No limit. */
    public static final ColdLimit NONE = new ColdLimit(0, 0, 0, 0);

    /**
     * Time for which a permit can be used. Short, since permits that were issued in this time before a second can be used in it;
     * longer than the time after which a waiting request looks for a permit again.
     */
    static final long PERMIT_LIFETIME_NANOS = 60_000_000L;

    /** Largest probability that more permits than allowed can be used in a second. */
    private static final double MAX_EXCESS_PROBABILITY = 1e-6;
    /** Sum of the shares of all gateways, with the usual errors of their estimates and while all of them have waiting requests. */
    private static final double SUM_OF_SHARES = 1.15;
    /** Factor of the rate of a gateway whose requests wait. */
    private static final double WAITING_FACTOR = 1.1;
    /** Number of gateways beyond which the distribution of the sum hardly changes. */
    private static final double MAX_GATEWAYS = 1_000;
    /** Halvings of the interval that contains the largest mean. */
    private static final int BISECTIONS = 30;

    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * Returns whether cold upstreams are limited.
     *
     * @return {@code false} if the service or the deployment states no limit
     */
    public boolean limited() {
        return requestsPerSecond > 0 && overage > 0;
    }

    /**
     * Returns the largest number of requests that a cold upstream may get in any second.
     *
     * @return number of requests from all gateways together
     */
    public double maxRequests() {
        return requestsPerSecond * overage + slack;
    }

    /**
     * Returns the rate at which one gateway issues permits for a cold upstream.
     *
     * <p>A gateway whose requests wait issues more, as long as that is within its share of {@link #requestsPerSecond}. Otherwise
     * the share of a gateway that uses all of its permits would fall behind that of gateways that use few of them.
     *
     * @param share part of the gateway in the traffic of the service, between 0 and 1; the other gateways are assumed to have the
     *     same
     * @param waiting whether requests of the gateway wait for a permit
     * @return permits a second, at most the share of {@link #requestsPerSecond}
     */
    public double permitsPerSecond(double share, boolean waiting) {
        final double permits = permitsPerSecond(share);
        return waiting ? Math.min(share * requestsPerSecond, WAITING_FACTOR * permits) : permits;
    }

    /**
     * Returns the rate at which one gateway issues permits for a cold upstream while none of its requests waits for one.
     *
     * @param share part of the gateway in the traffic of the service, between 0 and 1; the other gateways are assumed to have the
     *     same
     * @return permits a second, at most the share of {@link #requestsPerSecond}
     */
    public double permitsPerSecond(double share) {
        if (share <= 0 || !limited()) {
            return 0;
        }
        final double gateways = Math.min(MAX_GATEWAYS, Math.ceil(1 / share));
        final double usableSeconds = SUM_OF_SHARES * (1 + PERMIT_LIFETIME_NANOS / NANOS_PER_SECOND);
        double low = 0;
        double high = requestsPerSecond;
        for (int count = 0; count < BISECTIONS; count++) {
            final double middle = (low + high) / 2;
            if (excessProbability(gateways, middle * usableSeconds) <= MAX_EXCESS_PROBABILITY) {
                low = middle;
            } else {
                high = middle;
            }
        }
        return share * low;
    }

    /** Returns the probability that the sum over gateways with equal means, each rounded up or down, exceeds the limit. */
    private double excessProbability(double gateways, double mean) {
        final double whole = Math.floor(mean / gateways);
        final double rest = mean / gateways - whole;
        final double allowed = Math.floor(maxRequests()) - whole * gateways;
        if (allowed < 0) {
            return 1;
        }
        double term = Math.pow(1 - rest, gateways);
        double atMostAllowed = term;
        for (int ups = 1; ups <= Math.min(allowed, gateways); ups++) {
            term *= (gateways - ups + 1) / ups * rest / (1 - rest);
            atMostAllowed += term;
        }
        return 1 - atMostAllowed;
    }
}
