package org.masticpaddle.routing;

import java.util.Objects;
import java.util.Optional;

import org.masticpaddle.document.ModelVersion;

/**
 * How the choice of a version sees one version for one request. Immutable and thread-safe.
 *
 * @param version the version
 * @param exclusionReason why it takes no new work of the request, empty if it may
 * @param rolloutOnly whether it comes only through the stages of a roll-out
 * @param quality estimated quality for the request's kind
 * @param priceMicros expected price of the answer
 * @param millis expected time to the whole answer
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
        Objects.requireNonNull(exclusionReason, "obstacle is null");
        Objects.requireNonNull(quality, "quality is null");
    }
}
