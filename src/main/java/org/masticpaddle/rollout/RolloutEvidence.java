package org.masticpaddle.rollout;

import java.util.Objects;

/**
 * Input of the decision on the next step of a rollout. Immutable and thread-safe.
 *
 * @param counts observations of the new version since {@link RolloutState#startedAt()}
 * @param baseline highest rates that are no worse than the old version
 * @param versionHealthy whether the phase of the new version's {@link VersionHealth} is healthy
 * @param loadedUpstreams number of upstreams that report the new version as loaded
 * @param upstreams number of ready upstreams of the service
 */
public record RolloutEvidence(
        HealthCounts counts, HealthBaseline baseline, boolean versionHealthy, int loadedUpstreams, int upstreams) {
    /** Minimum number of upstreams that must have loaded the version, so that the loss of one does not end the stage. */
    private static final int MIN_LOADED_UPSTREAMS = 2;

    /** Checks the arguments. */
    public RolloutEvidence {
        Objects.requireNonNull(counts, "counts is null");
        Objects.requireNonNull(baseline, "baseline is null");
    }

    /**
     * Returns whether enough upstreams have loaded the version for a share of the sessions.
     *
     * @param share share of the sessions, between 0 and 1
     * @return {@code true} if the fraction of upstreams that loaded it is at least the share, and they are at least two or,
     *     in a smaller pool, all
     */
    public boolean enoughUpstreamsLoaded(double share) {
        final double minLoadedUpstreams = Math.max(MIN_LOADED_UPSTREAMS, Math.ceil(share * upstreams));
        return loadedUpstreams > 0 && loadedUpstreams >= Math.min(upstreams, minLoadedUpstreams);
    }
}
