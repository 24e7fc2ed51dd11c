package org.masticpaddle.rollout;

/**
 * Stages of a rollout, with the fraction of its time limit after which each may start, the share of sessions that are
 * routed to the new version, and the fault that the evidence must exclude before it.
 *
 * <p>Invariant: without a verdict the first two stages together stay within the permitted exposure until the time limit. The
 * shares of these stages are given as factors of the permitted exposure.
 *
 * <p>In the first half of the time active sessions stay on the old version, so the share is small. Sessions are assigned by
 * their hash and the share only grows, so a session on the new version stays there.
 */
enum RolloutStage {
    /** Collects evidence on few sessions. */
    CANARY(0, 0.8, 1, 0),
    /** Collects evidence under more load. */
    PARTIAL(0.55, 1.2, 0.4, 0),
    /** Sends everything to the new version. Its upstreams get all the load with cold caches, so more slow answers are due. */
    ALL(0.65, Double.POSITIVE_INFINITY, 0.2, 0.1);

    private final double earliestStartFraction;
    private final double exposureFactor;
    private final double excludedFault;
    private final double slowTolerance;

    RolloutStage(double earliestStart, double exposureFactor, double excludedFault, double slowTolerance) {
        this.earliestStartFraction = earliestStart;
        this.exposureFactor = exposureFactor;
        this.excludedFault = excludedFault;
        this.slowTolerance = slowTolerance;
    }

    /**
     * Returns the share of the sessions that run on the new version.
     *
     * @param exposureShare share of the requests that a bad version may get
     */
    double share(double exposureShare) {
        return Math.min(1, exposureFactor * exposureShare);
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

    /** Returns the increase of the rate of slow answers that the stage itself causes. */
    double slowTolerance() {
        return slowTolerance;
    }
}
