package org.masticpaddle.rollout;

import java.util.Objects;

/**
 * What a step of a roll-out is decided on. Immutable and thread-safe.
 *
 * @param counts observations of the new version since {@link RolloutState#startedAt()}
 * @param baseline worst rates of the old version
 * @param versionHealthy whether {@link VersionHealth} lets the new version take work
 * @param loadedUpstreams upstreams that report the new version loaded
 * @param upstreams ready upstreams of the service
 */
public record RolloutEvidence(
        HealthCounts counts, HealthBaseline baseline, boolean versionHealthy, int loadedUpstreams, int upstreams) {
    /** Fewest upstreams with the version, so that the loss of one does not end the stage. */
    private static final int MIN_LOADED_UPSTREAMS = 2;

    /** Checks the arguments. */
    public RolloutEvidence {
        Objects.requireNonNull(counts, "counts is null");
        Objects.requireNonNull(baseline, "baseline is null");
    }

    /**
     * Tells whether enough upstreams have the version for a share of the sessions.
     *
     * @param share share between 0 and 1
     * @return {@code true} if the part of them is at least the share, and at least two unless there are fewer
     */
    public boolean enoughUpstreamsLoaded(double share) {
        final double needed = Math.max(MIN_LOADED_UPSTREAMS, Math.ceil(share * upstreams));
        return loadedUpstreams > 0 && loadedUpstreams >= Math.min(upstreams, needed);
    }
}
