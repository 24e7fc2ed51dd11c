package org.masticpaddle.admission;

/**
 * Whether a service is under pressure: new work is expected to use up much of its objective before it starts, or upstreams reject
 * work for lack of room.
 *
 * <p>Load pattern: random clusters of requests fill a service for a moment without any overload. Invariant: one request does not
 * make the pressure; it takes several in a row, or a rejection by an upstream. Not thread-safe: used on the owner's thread only.
 */
final class Pressure {
    /** Weight of the newest request. */
    private static final double SMOOTHING_FACTOR = 0.2;
    /** Expected time, as a fraction of the objective, from which a service is under pressure. */
    private static final double PRESSED_FRACTION = 0.5;
    /** Largest fraction that one request counts as. */
    private static final double MAX_FRACTION = 2;
    /** Time after which a request, or a rejection by an upstream, says nothing any more. */
    private static final long MAX_AGE_NANOS = 500_000_000L;
    /** Time that lies before all others; differences to it do not overflow. */
    private static final long NEVER = Long.MIN_VALUE / 2;

    private double fraction;
    private long observedNanos = NEVER;
    private long rejectedNanos = NEVER;

    /** Records what is expected for a request that has arrived. */
    void observe(double expectedMillis, double objectiveMillis, long now) {
        if (now - observedNanos >= MAX_AGE_NANOS) {
            fraction = 0;
        }
        observedNanos = now;
        final double observed = objectiveMillis > 0 ? expectedMillis / objectiveMillis : 0;
        fraction += SMOOTHING_FACTOR * (Math.min(MAX_FRACTION, observed) - fraction);
    }

    /** Records that an upstream rejected a request for lack of room. */
    void onUpstreamRejected(long now) {
        rejectedNanos = now;
    }

    boolean pressed(long now) {
        return upstreamsFull(now) || now - observedNanos < MAX_AGE_NANOS && fraction >= PRESSED_FRACTION;
    }

    /** Returns whether an upstream rejected a request a short time ago. */
    boolean upstreamsFull(long now) {
        return now - rejectedNanos < MAX_AGE_NANOS;
    }
}
