package org.masticpaddle.rollout;

/**
 * Sequential probability ratio test of a version against a baseline, on ratings, errors and latency together.
 *
 * <p>The evidence is the mean, over the three measures and several fault sizes, of the likelihood ratio of a worse rate
 * to the baseline rate. While the version is no worse than the baseline, each ratio is a supermartingale that starts at 1,
 * also for ratings between 0 and 1 that are not binary, and so is the mean. By Ville's inequality it then exceeds 1/a with
 * probability a at most, no matter how often and for how long it is evaluated. The evidence depends on sums only, so all
 * entries with the same sums agree. Thread-safe, since it has no state.
 */
public final class SequentialTest {
    /**
     * Evidence at which a version counts as bad: by the inequality above at most 1 false alarm in 200 tests, which leaves
     * room for the error of the estimated baseline.
     */
    public static final double ALARM_EVIDENCE = 200;

    /** Fault sizes that are tested, as fractions of the distance from the baseline rate to a rate of 1. */
    private static final double[] FAULT_SIZES = {0.05, 0.1, 0.2, 0.4, 0.7};
    /** Fault size that must be unlikely before a version counts as healthy. */
    private static final double RELEVANT_FAULT_SIZE = 0.1;
    /** Likelihood ratio up to which a fault of the relevant size is unlikely. */
    private static final double MAX_HEALTHY_RATIO = 0.1;

    /** Lower limit of a baseline rate, which keeps the likelihood ratio finite. */
    private static final double MIN_RATE = 1e-4;
    /** Upper limit of a baseline rate, which leaves room for a worse rate. */
    private static final double MAX_RATE = 0.95;

    private SequentialTest() {}

    /** Result of the sequential test. */
    public enum Verdict {
        /** The version is worse than the baseline. */
        BAD,
        /** The observations do not suffice for either verdict. */
        UNDECIDED,
        /** A relevant fault is unlikely. */
        HEALTHY
    }

    /**
     * Decides whether a version is bad or healthy.
     *
     * @param counts observations of the version since the test began
     * @param baseline highest rates that do not count as a fault
     * @return {@link Verdict#UNDECIDED} while the observations show neither
     */
    public static Verdict decide(HealthCounts counts, HealthBaseline baseline) {
        if (evidence(counts, baseline) >= ALARM_EVIDENCE) {
            return Verdict.BAD;
        }
        final double maxLogRatio = Math.log(MAX_HEALTHY_RATIO);
        final boolean healthy = logRatio(
                                complaints(counts), counts.rated(), baseline.complaintRate(), RELEVANT_FAULT_SIZE)
                        <= maxLogRatio
                && logRatio(counts.errors(), counts.requests(), baseline.errorRate(), RELEVANT_FAULT_SIZE)
                        <= maxLogRatio
                && logRatio(counts.slow(), counts.requests(), baseline.slowRate(), RELEVANT_FAULT_SIZE) <= maxLogRatio;
        return healthy ? Verdict.HEALTHY : Verdict.UNDECIDED;
    }

    /**
     * Computes the evidence for a fault.
     *
     * @param counts observations of the version since the test began
     * @param baseline highest rates that do not count as a fault
     * @return mean likelihood ratio, 1 without observations
     */
    public static double evidence(HealthCounts counts, HealthBaseline baseline) {
        double ratioSum = 0;
        for (final double faultSize : FAULT_SIZES) {
            ratioSum += Math.exp(logRatio(complaints(counts), counts.rated(), baseline.complaintRate(), faultSize));
            ratioSum += Math.exp(logRatio(counts.errors(), counts.requests(), baseline.errorRate(), faultSize));
            ratioSum += Math.exp(logRatio(counts.slow(), counts.requests(), baseline.slowRate(), faultSize));
        }
        return ratioSum / (3 * FAULT_SIZES.length);
    }

    /**
     * Computes how likely a fault in errors or latency is, compared with none. Ratings are not included, since gateways get
     * none.
     *
     * @param counts observations of the version since the test began
     * @param baseline highest rates that do not count as a fault
     * @param faultSize size of the fault, as a fraction of the distance from the baseline rate to a rate of 1
     * @return the larger likelihood ratio of both measures, 1 without observations
     */
    public static double faultRatio(HealthCounts counts, HealthBaseline baseline, double faultSize) {
        return Math.exp(Math.max(
                logRatio(counts.errors(), counts.requests(), baseline.errorRate(), faultSize),
                logRatio(counts.slow(), counts.requests(), baseline.slowRate(), faultSize)));
    }

    /** Returns the sum of 1 minus the rating over all rated answers. */
    private static double complaints(HealthCounts counts) {
        return counts.rated() - counts.ratings();
    }

    /** Returns the log-likelihood ratio of a rate worsened by a fault against the baseline rate. */
    private static double logRatio(double badCount, double totalCount, double baseline, double faultSize) {
        final double baselineRate = Math.min(MAX_RATE, Math.max(MIN_RATE, baseline));
        final double faultRate = baselineRate + faultSize * (1 - baselineRate);
        return badCount * Math.log(faultRate / baselineRate)
                + (totalCount - badCount) * Math.log((1 - faultRate) / (1 - baselineRate));
    }
}
