package org.masticpaddle.rollout;

/**
 * Stages of a roll-out by the part of its time that has passed, with the share of sessions on the new version.
 *
 * <p>In the first half a session that has run on the old version must stay there, so that the share is small; it only
 * grows, and what is chosen by a session's hash stays chosen.
 */
enum RolloutStage {
    /** Collects evidence on few sessions. */
    CANARY(0, 0.04),
    /** Moves sessions. */
    TENTH(0.5, 0.12),
    /** Moves sessions. */
    THIRD(0.58, 0.35),
    /** Sends everything to the new version. */
    ALL(0.68, 1);

    private final double begin;
    private final double share;

    RolloutStage(double begin, double share) {
        this.begin = begin;
        this.share = share;
    }

    double share() {
        return share;
    }

    /** Part of the roll-out's time at which the stage begins at the earliest. */
    double begin() {
        return begin;
    }
}
