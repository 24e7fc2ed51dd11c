package org.masticpaddle.control;

/** How far a roll-out is. */
public enum RolloutProgress {
    /** Traffic moves to the new version. */
    RUNNING,
    /** All traffic is on the new version; the old upstreams stop. */
    COMPLETED,
    /** All traffic is on the old version; the new upstreams leave. */
    ROLLED_BACK;

    /**
     * Tells whether the state is final.
     *
     * @return {@code true} if the roll-out has ended
     */
    public boolean ended() {
        return this != RUNNING;
    }
}
