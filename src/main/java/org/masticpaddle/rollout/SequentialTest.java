package org.masticpaddle.rollout;

/**
 * Sequential probability ratio test of a version against a baseline, on ratings, errors and latency together.
 *
 * <p>The evidence is the mean, over the three measures and several sizes of a fault, of likelihood ratios of a worse
 * rate against the baseline. While the version is no worse, each ratio is a supermartingale with start 1, also for
 * ratings between 0 and 1 that are no coin flips, and so is the mean. It then exceeds 1/a with probability a at most,
 * however often and long one looks. The evidence depends on sums only, so all entries with the same sums agree.
 */
public final class SequentialTest {
    /** Evidence for a fault: 1 false alarm in 200 at most by the bound above, which leaves room for the estimated baseline. */
    public static final double ALARM_EVIDENCE = 200;

    /** Sizes of a fault, as part of the distance from the baseline to a rate of 1. */
    private static final double[] FAULT_SIZES = {0.05, 0.1, 0.2, 0.4, 0.7};
    /** Fault that must be unlikely before a version counts as healthy. */
    private static final double RELEVANT_FAULT_SIZE = 0.1;
    /** Evidence below which a relevant fault is unlikely. */
    private static final double MAX_HEALTHY_RATIO = 0.1;

    private static final double MIN_RATE = 1e-4;
    private static final double MAX_RATE = 0.95;

    private SequentialTest() {}

    /** Result of the test. */
    public enum Verdict {
        /** The version is worse than the baseline. */
        BAD,
        /** Neither is shown yet. */
        UNDECIDED,
        /** A relevant fault is unlikely. */
        HEALTHY
    }

    /**
     * Decides.
     *
     * @param counts observations of the version since the test began
     * @param baseline worst rates that are no fault
     * @return the verdict
     */
    public static Verdict decide(HealthCounts counts, HealthBaseline baseline) {
        if (evidence(counts, baseline) >= ALARM_EVIDENCE) {
            return Verdict.BAD;
        }
        final double limit = Math.log(MAX_HEALTHY_RATIO);
        final boolean healthy = logRatio(
                                complaints(counts), counts.rated(), baseline.complaintRate(), RELEVANT_FAULT_SIZE)
                        <= limit
                && logRatio(counts.errors(), counts.requests(), baseline.errorRate(), RELEVANT_FAULT_SIZE) <= limit
                && logRatio(counts.slow(), counts.requests(), baseline.slowRate(), RELEVANT_FAULT_SIZE) <= limit;
        return healthy ? Verdict.HEALTHY : Verdict.UNDECIDED;
    }

    /**
     * Computes the evidence for a fault.
     *
     * @param counts observations of the version since the test began
     * @param baseline worst rates that are no fault
     * @return mean likelihood ratio, 1 without observations
     */
    public static double evidence(HealthCounts counts, HealthBaseline baseline) {
        double sum = 0;
        for (final double fault : FAULT_SIZES) {
            sum += Math.exp(logRatio(complaints(counts), counts.rated(), baseline.complaintRate(), fault));
            sum += Math.exp(logRatio(counts.errors(), counts.requests(), baseline.errorRate(), fault));
            sum += Math.exp(logRatio(counts.slow(), counts.requests(), baseline.slowRate(), fault));
        }
        return sum / (3 * FAULT_SIZES.length);
    }

    private static double complaints(HealthCounts counts) {
        return counts.rated() - counts.ratings();
    }

    private static double logRatio(double bad, double all, double baseline, double fault) {
        final double none = Math.min(MAX_RATE, Math.max(MIN_RATE, baseline));
        final double worse = none + fault * (1 - none);
        return bad * Math.log(worse / none) + (all - bad) * Math.log((1 - worse) / (1 - none));
    }
}
