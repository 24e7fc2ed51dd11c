package org.masticpaddle.routing;

import java.util.Objects;

/**
 * Parameters of the {@link UpstreamSelector}. Immutable and thread-safe.
 *
 * @param region region of the entry
 * @param sampleSize number of random candidates that are compared, at least 2
 * @param reportDecayMillis age in milliseconds at which the weight of a load report has decayed to 1/e
 * @param crossRegionPenaltyMillis milliseconds added to the score of upstreams in other regions
 * @param tailWeight share of the tail latency's excess over the mean that is added to the score
 */
public record UpstreamPolicy(
        String region, int sampleSize, double reportDecayMillis, double crossRegionPenaltyMillis, double tailWeight) {
    /** Checks the arguments. */
    public UpstreamPolicy {
        Objects.requireNonNull(region, "region is null");
        if (sampleSize < 2) {
            throw new IllegalArgumentException("sampleSize is " + sampleSize + ", expected at least 2");
        }
    }

    /**
     * Returns the default policy for a region.
     *
     * @param region region of the entry
     * @return policy with the default parameters
     */
    public static UpstreamPolicy of(String region) {
        return new UpstreamPolicy(region, 4, 250, 60, 0.05);
    }
}
