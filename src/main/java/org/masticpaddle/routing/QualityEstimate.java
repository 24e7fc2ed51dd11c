package org.masticpaddle.routing;

/**
 * Expected quality of a version for one request kind. Immutable and thread-safe.
 *
 * @param mean posterior mean, between 0 and 1
 * @param deviation posterior standard deviation
 * @param weight ratings that the posterior counts for, the prior included
 */
public record QualityEstimate(double mean, double deviation, double weight) {
    /** One-sided 90% bound of a normal distribution; the Beta posterior is close to it above a weight of about 10. */
    private static final double Z_SCORE_90 = 1.2816;

    /**
     * Builds the estimate from a Beta distribution.
     *
     * @param good sum of ratings, above 0
     * @param bad sum of their complements, above 0
     * @return the estimate
     */
    public static QualityEstimate ofBeta(double good, double bad) {
        final double weight = good + bad;
        final double mean = good / weight;
        return new QualityEstimate(mean, Math.sqrt(mean * (1 - mean) / (weight + 1)), weight);
    }

    /**
     * Returns the quality that the version has with 90% certainty.
     *
     * @return lower confidence bound, between 0 and 1
     */
    public double lowerBound() {
        return Math.max(0, mean - Z_SCORE_90 * deviation);
    }

    /**
     * Returns the quality that the version does not exceed with 90% certainty.
     *
     * @return upper confidence bound, between 0 and 1
     */
    public double upperBound() {
        return Math.min(1, mean + Z_SCORE_90 * deviation);
    }
}
