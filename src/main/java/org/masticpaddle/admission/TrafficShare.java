package org.masticpaddle.admission;

import java.util.OptionalDouble;

/**
 * Estimates the share of one gateway in the traffic of a service from requests in flight: its own, and those that the upstreams
 * report for all gateways together.
 *
 * <p>The one source of a gateway's part in each sum that holds for all gateways together: stated limits, the slack of the retry
 * budget. The gateways divide them by these shares without talking to each other. Law: the shares add up to about 1, and to
 * {@link #MAX_SUM} at most, however many gateways there are, also while gateways start, end, are cut off or suspended, or traffic
 * moves between them. Not thread-safe: used on the owner's thread only.
 */
public final class TrafficShare {
    /** Time constant of the moving averages. */
    private static final double TIME_CONSTANT_NANOS = 3e9;
    /** Part of the time since the first observation that the time constant does not exceed. */
    private static final double OBSERVED_FRACTION = 0.5;
    /** Largest sum of the shares of all gateways, with the errors of their estimates. */
    public static final double MAX_SUM = 1.4;
    /**
     * Requests in flight that count as a gateway's own if it has fewer, so that it can begin. Small, since all gateways without
     * traffic have this part.
     */
    private static final double MIN_IN_FLIGHT = 0.1;
    /** Share if no upstream reports its load; the sum is kept by up to 50 gateways. */
    static final double UNKNOWN_SHARE = 0.02;
    /** Time after the last observation for which the share is known. */
    private static final long KNOWN_NANOS = 10_000_000_000L;
    /** Part of the requests in flight by which requests that wait for a permit may raise the share. */
    private static final double WAITING_FRACTION = 0.1;

    private double own;
    private double total;
    private long firstNanos;
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
        final double weight = observed ? weight(now) : 1;
        if (!observed) {
            firstNanos = now;
        }
        own += weight * (ownInFlight - own);
        total += weight * (totalInFlight - total);
        updatedNanos = now;
        observed = true;
    }

    /** Returns the weight of a new observation; higher at first, so that the first ones do not outweigh those that follow. */
    private double weight(long now) {
        final double timeConstant = Math.max(1, Math.min(TIME_CONSTANT_NANOS, OBSERVED_FRACTION * (now - firstNanos)));
        return 1 - Math.exp(-Math.max(0, now - updatedNanos) / timeConstant);
    }

    /**
     * Returns the share of this gateway by its own traffic alone. Unlike {@link #share}, it has no lower limit, so that the sum
     * does not grow with the number of gateways.
     *
     * @param now current time in nanoseconds
     * @return share between 0 and 1; empty without a recent observation
     */
    public OptionalDouble observedShare(long now) {
        return observed && now - updatedNanos < KNOWN_NANOS
                ? OptionalDouble.of(Math.min(1, own / Math.max(1 + total, own)))
                : OptionalDouble.empty();
    }

    /**
     * Returns the share of this gateway.
     *
     * @param waiting requests of this gateway that wait for a permit. A few of them count as traffic, so that a gateway that
     *     has just started gets its share although it has little traffic in flight
     * @return share, more than 0 and at most 1
     */
    public double share(int waiting) {
        if (!observed) {
            return UNKNOWN_SHARE;
        }
        final double counted = Math.max(MIN_IN_FLIGHT, own) + Math.min(waiting, 1 + WAITING_FRACTION * own);
        return Math.min(1, counted / Math.max(1 + total, counted));
    }
}
