package org.masticpaddle.fleet;

/**
 * Failures and latencies of an upstream in the requests of one gateway.
 *
 * <p>Invariant: observations fade after the last one. An upstream that gets no requests because of them would otherwise never show
 * that it has recovered. Not thread-safe: confined to the thread of its owner.
 */
public final class ObservedPerformance {
    /** Weight of the newest observation in the moving averages. */
    private static final double SMOOTHING_FACTOR = 0.15;
    /** Age beyond which observations are ignored. */
    private static final long MAX_AGE_NANOS = 10_000_000_000L;
    /** Lower limit of one observed latency ratio; a lower one is clamped. */
    private static final double MIN_LATENCY_RATIO = 0.5;
    /** Upper limit of one observed latency ratio; a higher one is clamped. */
    private static final double MAX_LATENCY_RATIO = 12;
    /** Ratio to the usual latency ratio above which an answer is slow. */
    static final double SLOW_RATIO = 1.5;
    /** Time that lies before all others; differences to it do not overflow. */
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final ObservedSpeed speed = new ObservedSpeed();
    private double failureRate;
    private double latencyRatio = 1;
    private double slowRate;
    private long observedNanos = NEVER;

    ObservedPerformance() {}

    void recordSuccess(double expectedMillis, double actualMillis, long now) {
        recordOutcome(0, now);
        if (expectedMillis > 0) {
            final double ratio =
                    Math.max(MIN_LATENCY_RATIO, Math.min(MAX_LATENCY_RATIO, actualMillis / expectedMillis));
            final double slow = ratio > SLOW_RATIO * Math.max(1, latencyRatio) ? 1 : 0;
            slowRate += SMOOTHING_FACTOR * (slow - slowRate);
            latencyRatio += SMOOTHING_FACTOR * (ratio - latencyRatio);
        }
    }

    void recordFailure(long now) {
        recordOutcome(1, now);
    }

    void reset() {
        failureRate = 0;
        latencyRatio = 1;
        slowRate = 0;
        speed.reset();
    }

    /**
     * Returns how long work takes at the upstream, without the time that requests wait there.
     *
     * @return live object, which forgets an earlier incarnation
     */
    public ObservedSpeed speed() {
        return speed;
    }

    private void recordOutcome(double failure, long now) {
        latencyRatio = latencyRatio(now);
        failureRate = failureRate(now);
        slowRate = slowRate(now);
        failureRate += SMOOTHING_FACTOR * (failure - failureRate);
        observedNanos = now;
    }

    /**
     * Returns the rate of requests that failed.
     *
     * @param now current time in nanoseconds
     * @return exponential moving average, between 0 and 1, which fades after the last observation
     */
    public double failureRate(long now) {
        return failureRate * freshness(now);
    }

    /**
     * Returns the ratio of the observed to the expected time to the start of an answer.
     *
     * @param now current time in nanoseconds
     * @return exponential moving average; 1 means as fast as expected, higher is slower; fades to 1 after the last observation
     */
    public double latencyRatio(long now) {
        return 1 + (latencyRatio - 1) * freshness(now);
    }

    /**
     * Returns the rate of answers that began much later than usual for the upstream.
     *
     * @param now current time in nanoseconds
     * @return exponential moving average, between 0 and 1, which fades after the last observation
     */
    public double slowRate(long now) {
        return slowRate * freshness(now);
    }

    private double freshness(long now) {
        return Math.max(0, 1 - (double) (now - observedNanos) / MAX_AGE_NANOS);
    }
}
