package org.masticpaddle.admission;

/**
 * Estimates the share of one gateway in the traffic of a service from requests in flight: its own, and those that the upstreams
 * report for all gateways together.
 *
 * <p>The gateways divide the limit of an upstream by these shares without talking to each other. The shares add up to 1 apart
 * from the error of the estimates, however many gateways there are and whenever one starts or stops. Not thread-safe: used on
 * the owner's thread only.
 */
public final class TrafficShare {
    /** Time constant of the moving averages. */
    private static final double TIME_CONSTANT_NANOS = 3e9;
    /** Share of a gateway without traffic of its own, so that it can begin. */
    static final double MIN_SHARE = 0.02;
    /** Share if the upstreams report no load. */
    static final double UNKNOWN_SHARE = 0.1;
    /** Part of the requests in flight by which requests that wait for a permit may raise the share. */
    private static final double WAITING_FRACTION = 0.1;

    private double own;
    private double total;
    private long updatedNanos;
    private boolean observed;

    /** Creates an estimate without observations. */
    public TrafficShare() {}

    /**
     * Records the requests in flight. Called periodically.
     *
     * @param ownInFlight requests of this gateway
     * @param totalInFlight requests of all gateways
     * @param now current time in nanoseconds
     */
    public void observe(double ownInFlight, double totalInFlight, long now) {
        final double weight = observed ? 1 - Math.exp(-Math.max(0, now - updatedNanos) / TIME_CONSTANT_NANOS) : 1;
        own += weight * (ownInFlight - own);
        total += weight * (totalInFlight - total);
        updatedNanos = now;
        observed = true;
    }

    /**
     * Returns the share of this gateway.
     *
     * @param waiting requests of this gateway that wait for a permit. A few of them count as traffic, so that a gateway that
     *     has just started gets its share although it has little traffic in flight
     * @return share between {@link #MIN_SHARE} and 1
     */
    public double share(int waiting) {
        if (!observed) {
            return UNKNOWN_SHARE;
        }
        final double counted = Math.min(waiting, 1 + WAITING_FRACTION * own);
        final double all = Math.max(total, own) + counted;
        return all <= 0 ? MIN_SHARE : Math.max(MIN_SHARE, (own + counted) / all);
    }
}
