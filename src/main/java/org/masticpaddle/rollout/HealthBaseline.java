package org.masticpaddle.rollout;

/**
 * Worst rates at which a version still counts as no worse than its reference. Immutable and thread-safe.
 *
 * @param complaintRate mean complement of the rating
 * @param errorRate part of the requests that fail
 * @param slowRate part of the requests that are slow
 */
public record HealthBaseline(double complaintRate, double errorRate, double slowRate) {
    /** Deviations added to a rate, so that chance in the reference does not become a false alarm. */
    private static final double MARGIN_DEVIATIONS = 2;
    /** Differences that are no fault of a version. */
    private static final double COMPLAINT_TOLERANCE = 0.02;

    private static final double ERROR_TOLERANCE = 0.005;
    private static final double SLOW_TOLERANCE = 0.03;
    /** Prior of the rates that no document declares, worth this many requests. */
    private static final double PRIOR_REQUESTS = 20;

    private static final double PRIOR_ERROR_RATE = 0.01;
    private static final double PRIOR_SLOW_RATE = 0.05;

    /**
     * Builds the baseline from observations of the reference over its declared quality.
     *
     * @param reference observations of the old version, or of the same version earlier
     * @param quality declared quality of the reference, between 0 and 1
     * @param priorWeight ratings that the declared quality counts for
     * @return the baseline
     */
    public static HealthBaseline of(HealthCounts reference, double quality, double priorWeight) {
        final double weight = Math.max(1, priorWeight);
        return new HealthBaseline(
                upperRate(reference.rated() - reference.ratings() + (1 - quality) * weight, reference.rated() + weight)
                        + COMPLAINT_TOLERANCE,
                upperRate(reference.errors() + PRIOR_ERROR_RATE * PRIOR_REQUESTS, reference.requests() + PRIOR_REQUESTS)
                        + ERROR_TOLERANCE,
                upperRate(reference.slow() + PRIOR_SLOW_RATE * PRIOR_REQUESTS, reference.requests() + PRIOR_REQUESTS)
                        + SLOW_TOLERANCE);
    }

    private static double upperRate(double bad, double all) {
        final double rate = Math.min(1, bad / all);
        return rate + MARGIN_DEVIATIONS * Math.sqrt(rate * (1 - rate) / (all + 1));
    }
}
