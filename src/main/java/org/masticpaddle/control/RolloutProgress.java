package org.masticpaddle.control;

/** Progress of a rollout. */
public enum RolloutProgress {
    /** Traffic is being shifted to the new version. */
    RUNNING,
    /** All traffic is on the new version; the old upstreams stop. */
    COMPLETED,
    /** All traffic is on the old version; the new upstreams are drained. */
    ROLLED_BACK;

    /**
     * Returns whether the rollout has ended.
     *
     * @return {@code true} if the state is final
     */
    public boolean ended() {
        return this != RUNNING;
    }
}
