package org.masticpaddle.routing;

/**
 * Mean time for which the engines of a service keep requests waiting, over all engines and recent requests of one gateway.
 *
 * <p>Load pattern: with many gateways each one sends too little to an engine to know its queue, but enough to all engines
 * together to know how loaded they are. Not thread-safe: confined to the thread of its owner.
 */
public final class QueueDelay {
    /** Time constant of the moving average. */
    private static final double TIME_CONSTANT_NANOS = 2e9;
    /** Weight of one observation at most, so that a single stall does not decide. */
    private static final double MAX_WEIGHT = 0.2;
    /** Longest delay that is counted for one request. */
    private static final double MAX_SECONDS = 4;

    private double seconds;
    private long updatedNanos;

    /** Creates an average without observations, which is 0. */
    public QueueDelay() {}

    /**
     * Records the delay of one request.
     *
     * @param delayMillis time to the first token beyond the time that the engine worked on the request, in milliseconds
     * @param now current time in nanoseconds
     */
    public void record(double delayMillis, long now) {
        final double weight =
                Math.min(MAX_WEIGHT, 1 - Math.exp(-Math.max(0, now - updatedNanos) / TIME_CONSTANT_NANOS));
        seconds += weight * (Math.max(0, Math.min(MAX_SECONDS, delayMillis / 1e3)) - seconds);
        updatedNanos = now;
    }

    /**
     * Returns the mean delay.
     *
     * @return moving average in seconds
     */
    public double seconds() {
        return seconds;
    }
}
