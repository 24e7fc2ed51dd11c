package org.masticpaddle.routing;

/**
 * Posterior estimate of the quality of a version for one request kind. Immutable and thread-safe.
 *
 * @param mean posterior mean, between 0 and 1
 * @param deviation posterior standard deviation
 * @param weight effective number of ratings in the posterior, including the prior
 */
public record QualityEstimate(double mean, double deviation, double weight) {
    /** 90% quantile of the normal distribution, which is close to the Beta posterior for weights above about 10. */
    private static final double Z_SCORE_90 = 1.2816;

    /**
     * Creates the estimate from the parameters of a Beta distribution.
     *
     * @param good sum of the ratings, positive
     * @param bad sum of their complements to 1, positive
     * @return estimate whose weight is {@code good + bad}
     */
    public static QualityEstimate ofBeta(double good, double bad) {
        final double weight = good + bad;
        final double mean = good / weight;
        return new QualityEstimate(mean, Math.sqrt(mean * (1 - mean) / (weight + 1)), weight);
    }

    /**
     * Returns the one-sided 90% lower confidence bound of the quality.
     *
     * @return lower confidence bound, between 0 and 1
     */
    public double lowerBound() {
        return Math.max(0, mean - Z_SCORE_90 * deviation);
    }

    /**
     * Returns the one-sided 90% upper confidence bound of the quality.
     *
     * @return upper confidence bound, between 0 and 1
     */
    public double upperBound() {
        return Math.min(1, mean + Z_SCORE_90 * deviation);
    }
}
