package org.masticpaddle.admission;

import org.apache.commons.rng.UniformRandomProvider;

/** When a caller whose request was refused should come back. Immutable and thread-safe. */
public enum RetryAfterPolicy {
    /**
     * Another gateway can serve the request. Answers the load pattern of one gateway that stops, starts or has lost the
     * log while the others serve: callers return within a small part of their objective.
     */
    FAILOVER(0, 0.1),
    /**
     * No upstream takes the request now. Answers the load pattern of a burst: callers return spread over the time in which
     * upstreams finish short requests.
     */
    BACKOFF(0.3, 0.3);

    /** Objective of requests whose route is not known, in milliseconds: that of a short call. */
    public static final double DEFAULT_OBJECTIVE_MILLIS = 400;
    /** Longest part that depends on the objective, in seconds. */
    private static final double LONGEST_SPREAD_SECONDS = 0.6;

    private final double shortestSeconds;
    private final double objectiveShare;

    RetryAfterPolicy(double shortestSeconds, double objectiveShare) {
        this.shortestSeconds = shortestSeconds;
        this.objectiveShare = objectiveShare;
    }

    /**
     * Draws the time to wait, so that callers that were refused together do not come back together.
     *
     * @param objectiveMillis time in which the route's answers are to begin
     * @param random source of the spread
     * @return seconds until the caller should come back
     */
    public double delaySeconds(double objectiveMillis, UniformRandomProvider random) {
        return shortestSeconds
                + random.nextDouble() * Math.min(LONGEST_SPREAD_SECONDS, objectiveShare * objectiveMillis / 1_000);
    }
}
