package org.masticpaddle.rollout;

import java.util.Objects;

/**
 * Sums of what was observed of a version. Immutable and thread-safe.
 *
 * @param requests finished requests
 * @param errors requests that the version failed
 * @param slow requests slower than the target of their rank
 * @param rated rated answers
 * @param ratings sum of the ratings, each between 0 and 1
 */
public record HealthCounts(double requests, double errors, double slow, double rated, double ratings) {
    /** Nothing observed. */
    public static final HealthCounts NONE = new HealthCounts(0, 0, 0, 0, 0);

    /**
     * Adds sums; the order does not matter.
     *
     * @param other sums of other observations
     * @return sums of both
     */
    public HealthCounts plus(HealthCounts other) {
        Objects.requireNonNull(other, "other is null");
        return new HealthCounts(
                requests + other.requests,
                errors + other.errors,
                slow + other.slow,
                rated + other.rated,
                ratings + other.ratings);
    }

    /**
     * Multiplies the sums.
     *
     * @param factor factor, at least 0
     * @return the scaled sums
     */
    public HealthCounts scaled(double factor) {
        return new HealthCounts(requests * factor, errors * factor, slow * factor, rated * factor, ratings * factor);
    }
}
