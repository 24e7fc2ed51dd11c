package org.masticpaddle.rollout;

/**
 * Stages of a rollout, with the fraction of its time limit after which each may start, the share of sessions that are
 * routed to the new version, and the fault that the evidence must exclude before it.
 *
 * <p>In the first half of the time active sessions stay on the old version, so the share is small. Sessions are assigned by
 * their hash and the share only grows, so a session on the new version stays there.
 */
enum RolloutStage {
    /** Collects evidence within the exposure that a bad version may have. */
    CANARY(0, 0, 1) {
        @Override
        double share(double exposureShare) {
            return CANARY_EXPOSURE_FRACTION * exposureShare;
        }
    },
    /** Routes a quarter of the sessions to the new version, so that a fault under load shows. */
    QUARTER(0.55, 0.25, 0.4),
    /** Sends everything to the new version. */
    ALL(0.65, 1, 0.2);

    /** Part of the permitted exposure that the canary uses; the rest is left for the later stages. */
    private static final double CANARY_EXPOSURE_FRACTION = 0.5;

    private final double earliestStartFraction;
    private final double share;
    private final double excludedFault;

    RolloutStage(double earliestStart, double share, double excludedFault) {
        this.earliestStartFraction = earliestStart;
        this.share = share;
        this.excludedFault = excludedFault;
    }

    /**
     * Returns the share of the sessions that run on the new version.
     *
     * @param exposureShare share of the requests that a bad version may get
     */
    double share(double exposureShare) {
        return share;
    }

    /** Returns the share of the sessions before the stage. */
    double shareBefore(double exposureShare) {
        return this == CANARY ? 0 : values()[ordinal() - 1].share(exposureShare);
    }

    /** Returns the fraction of the time limit before which the stage does not start. */
    double earliestStartFraction() {
        return earliestStartFraction;
    }

    /** Returns the size of the fault, as a fraction of the good answers, that must be unlikely before the stage starts. */
    double excludedFault() {
        return excludedFault;
    }
}
