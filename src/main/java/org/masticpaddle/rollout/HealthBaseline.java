package org.masticpaddle.rollout;

/**
 * Highest rates at which a version still counts as no worse than its reference. Immutable and thread-safe.
 *
 * @param complaintRate mean of 1 minus the rating, between 0 and 1
 * @param errorRate fraction of the requests that fail
 * @param slowRate fraction of the requests that are slow
 */
public record HealthBaseline(double complaintRate, double errorRate, double slowRate) {
    /** Standard deviations added to a rate, so that chance in the reference does not cause a false alarm. */
    private static final double MARGIN_STANDARD_DEVIATIONS = 2;
    /** Increase of the complaint rate over the reference that does not count as a fault of the version. */
    private static final double COMPLAINT_RATE_TOLERANCE = 0.02;

    /** Increase of the error rate over the reference that does not count as a fault of the version. */
    private static final double ERROR_RATE_TOLERANCE = 0.005;
    /** Increase of the rate of slow requests over the reference that does not count as a fault of the version. */
    private static final double SLOW_RATE_TOLERANCE = 0.03;
    /** Weight, in requests, of the prior error and slow rates, which the routing document does not declare. */
    private static final double PRIOR_REQUESTS = 20;

    /** Error rate assumed before the first observation. */
    private static final double PRIOR_ERROR_RATE = 0.01;
    /** Rate of slow requests assumed before the first observation. */
    private static final double PRIOR_SLOW_RATE = 0.05;

    /**
     * Computes the baseline from observations of the reference, with its declared quality as the prior.
     *
     * @param reference observations of the old version, or earlier ones of the same version
     * @param quality declared quality of the reference, between 0 and 1
     * @param priorWeight number of ratings that the declared quality counts as; less than 1 counts as 1
     * @return rates of the reference plus a margin for chance and a tolerance
     */
    public static HealthBaseline of(HealthCounts reference, double quality, double priorWeight) {
        final double weight = Math.max(1, priorWeight);
        return new HealthBaseline(
                upperConfidenceBound(
                                reference.rated() - reference.ratings() + (1 - quality) * weight,
                                reference.rated() + weight)
                        + COMPLAINT_RATE_TOLERANCE,
                upperConfidenceBound(
                                reference.errors() + PRIOR_ERROR_RATE * PRIOR_REQUESTS,
                                reference.requests() + PRIOR_REQUESTS)
                        + ERROR_RATE_TOLERANCE,
                upperConfidenceBound(
                                reference.slow() + PRIOR_SLOW_RATE * PRIOR_REQUESTS,
                                reference.requests() + PRIOR_REQUESTS)
                        + SLOW_RATE_TOLERANCE);
    }

    /**
     * Returns a baseline that tolerates more slow answers.
     *
     * @param increase increase of the rate of slow answers that has another cause than the version
     * @return the baseline with the higher rate
     */
    public HealthBaseline withSlowTolerance(double increase) {
        return new HealthBaseline(complaintRate, errorRate, slowRate + increase);
    }

    /** Returns an upper confidence bound of a rate. */
    private static double upperConfidenceBound(double badCount, double totalCount) {
        final double rate = Math.min(1, badCount / totalCount);
        return rate + MARGIN_STANDARD_DEVIATIONS * Math.sqrt(rate * (1 - rate) / (totalCount + 1));
    }
}
