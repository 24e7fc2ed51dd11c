package org.masticpaddle.rollout;

/**
 * Stages of a rollout, with the fraction of its time limit after which each may start and the share of sessions that are
 * routed to the new version.
 *
 * <p>In the first half of the time a session that has run on the old version must stay on it, so the share is small. Sessions
 * are assigned by their hash and the share only grows, so a session on the new version stays there.
 */
enum RolloutStage {
    /** Collects evidence on few sessions. */
    CANARY(0, 0.04),
    /** Routes about a tenth of the sessions to the new version. */
    TENTH(0.5, 0.12),
    /** Routes about a third of the sessions to the new version. */
    THIRD(0.58, 0.35),
    /** Sends everything to the new version. */
    ALL(0.68, 1);

    private final double earliestStartFraction;
    private final double share;

    RolloutStage(double earliestStart, double share) {
        this.earliestStartFraction = earliestStart;
        this.share = share;
    }

    double share() {
        return share;
    }

    /** Returns the share of the sessions before the stage. */
    double shareBefore() {
        return this == CANARY ? 0 : values()[ordinal() - 1].share;
    }

    /** Returns the fraction of the time limit before which the stage does not start. */
    double earliestStartFraction() {
        return earliestStartFraction;
    }
}
