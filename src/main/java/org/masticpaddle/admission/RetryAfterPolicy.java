package org.masticpaddle.admission;

import org.apache.commons.rng.UniformRandomProvider;

/** Delay after which the caller of a rejected request should retry. Immutable and thread-safe. */
public enum RetryAfterPolicy {
    /**
     * For requests that another gateway can serve, because this one is starting, stopping or disconnected from the log:
     * callers retry within a small fraction of their objective.
     */
    FAILOVER(0, 0.1),
    /**
     * For requests that no upstream can take now, as in a burst: callers retry spread over the time in which upstreams
     * finish short requests.
     */
    BACKOFF(0.3, 0.3);

    /** Objective of requests whose route is unknown, in milliseconds; the usual objective of a short request. */
    public static final double DEFAULT_OBJECTIVE_MILLIS = 400;
    /** Upper limit of the random part of the delay, which otherwise grows with the objective, in seconds. */
    private static final double MAX_JITTER_SECONDS = 0.6;

    private final double minDelaySeconds;
    private final double jitterObjectiveFraction;

    RetryAfterPolicy(double minDelaySeconds, double jitterObjectiveFraction) {
        this.minDelaySeconds = minDelaySeconds;
        this.jitterObjectiveFraction = jitterObjectiveFraction;
    }

    /**
     * Draws a random delay, so that callers that were rejected together do not retry together.
     *
     * @param objectiveMillis target of the route for the time until its answers start, in milliseconds
     * @param random source of the random part of the delay
     * @return delay in seconds
     */
    public double delaySeconds(double objectiveMillis, UniformRandomProvider random) {
        return minDelaySeconds
                + random.nextDouble() * Math.min(MAX_JITTER_SECONDS, jitterObjectiveFraction * objectiveMillis / 1_000);
    }
}
