package org.masticpaddle.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Ratio of the observed to the expected time until answers start, by rank.
 *
 * <p>Load pattern: upstreams serve their queues by rank, so that the same queue delays urgent requests little and others much.
 * Invariant: the ratio fades to 1 without observations, so that requests that are rejected for an expected time that is too long
 * do not keep it. Not thread-safe: used on the owner's thread only.
 */
public final class StartErrors {
    /** Weight of the newest observation. */
    private static final double SMOOTHING_FACTOR = 0.1;
    /** Largest and, inverted, smallest ratio that one observation counts as. */
    private static final double MAX_RATIO = 4;
    /** Time for which an observation counts in full. */
    private static final double FRESH_NANOS = 5e8;
    /** Time after which an observation says nothing any more. */
    private static final double MAX_AGE_NANOS = 2e9;

    private final Map<Integer, Error> errors = new HashMap<>();

    /** Creates ratios of 1. */
    public StartErrors() {}

    /**
     * Records the start of an answer.
     *
     * @param rank rank of the request
     * @param expectedMillis expected time from its sending until the start, before the correction by {@link #ratio}
     * @param actualMillis observed time
     * @param now current time in nanoseconds
     */
    public void record(int rank, double expectedMillis, double actualMillis, long now) {
        if (expectedMillis <= 0) {
            return;
        }
        final double observed = Math.max(1 / MAX_RATIO, Math.min(MAX_RATIO, actualMillis / expectedMillis));
        final double ratio = ratio(rank, now);
        errors.put(rank, new Error(ratio + SMOOTHING_FACTOR * (observed - ratio), now));
    }

    /**
     * Returns the factor by which expected times are to be multiplied.
     *
     * @param rank rank of the request
     * @param now current time in nanoseconds
     * @return ratio, 1 without recent observations
     */
    public double ratio(int rank, long now) {
        final Error error = errors.get(rank);
        if (error == null) {
            return 1;
        }
        final double weight = (MAX_AGE_NANOS - (now - error.observedNanos)) / (MAX_AGE_NANOS - FRESH_NANOS);
        return 1 + (error.ratio - 1) * Math.max(0, Math.min(1, weight));
    }

    private record Error(double ratio, long observedNanos) {}
}
