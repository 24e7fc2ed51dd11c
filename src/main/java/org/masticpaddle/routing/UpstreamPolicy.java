package org.masticpaddle.routing;

import java.util.Objects;

/**
 * Weights of the choice of an upstream. Immutable and thread-safe.
 *
 * @param region own region
 * @param sampleSize random candidates compared
 * @param reportDecayMillis age at which a report counts 1/e, in milliseconds
 * @param crossRegionPenaltyMillis penalty of another region
 * @param tailWeight part of the tail's excess over the mean that counts as expected time
 */
public record UpstreamPolicy(
        String region, int sampleSize, double reportDecayMillis, double crossRegionPenaltyMillis, double tailWeight) {
    /** Checks the arguments. */
    public UpstreamPolicy {
        Objects.requireNonNull(region, "region is null");
        if (sampleSize < 2) {
            throw new IllegalArgumentException("samples is " + sampleSize + ", expected at least 2");
        }
    }

    /**
     * Returns the policy in use.
     *
     * @param region own region
     * @return the policy
     */
    public static UpstreamPolicy of(String region) {
        return new UpstreamPolicy(region, 4, 250, 60, 0.05);
    }
}
