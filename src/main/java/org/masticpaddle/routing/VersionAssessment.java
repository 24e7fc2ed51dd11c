package org.masticpaddle.routing;

import java.util.Objects;
import java.util.Optional;

import org.masticpaddle.document.ModelVersion;

/**
 * Assessment of one version for one request by the {@link VersionSelector}. Immutable and thread-safe.
 *
 * @param version assessed version
 * @param exclusionReason reason for which the version is excluded, empty if it is a candidate
 * @param rolloutOnly whether the version gets requests only through the stages of a rollout
 * @param quality estimated quality for the kind of the request
 * @param priceMicros expected price of the answer in millionths of the currency unit
 * @param millis expected time to the complete answer in milliseconds
 */
public record VersionAssessment(
        ModelVersion version,
        Optional<VersionPlan.Reason> exclusionReason,
        boolean rolloutOnly,
        QualityEstimate quality,
        long priceMicros,
        double millis) {
    /** Checks the arguments. */
    public VersionAssessment {
        Objects.requireNonNull(version, "version is null");
        Objects.requireNonNull(exclusionReason, "exclusionReason is null");
        Objects.requireNonNull(quality, "quality is null");
    }
}
