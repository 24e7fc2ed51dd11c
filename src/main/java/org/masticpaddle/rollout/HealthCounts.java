package org.masticpaddle.rollout;

import java.util.Objects;

/**
 * Sums of the observations of a version; fractional after scaling. Immutable and thread-safe.
 *
 * @param requests finished requests
 * @param errors requests that the version failed
 * @param slow requests slower than the target of their rank
 * @param rated number of rated answers
 * @param ratings sum of the ratings, each between 0 and 1
 */
public record HealthCounts(double requests, double errors, double slow, double rated, double ratings) {
    /** Sums without observations. */
    public static final HealthCounts NONE = new HealthCounts(0, 0, 0, 0, 0);

    /**
     * Adds the sums of other observations. Commutative and associative, apart from rounding.
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
     * Scales the sums.
     *
     * @param factor multiplier of each sum, at least 0
     * @return the sums multiplied by the factor
     */
    public HealthCounts scaled(double factor) {
        return new HealthCounts(requests * factor, errors * factor, slow * factor, rated * factor, ratings * factor);
    }
}
