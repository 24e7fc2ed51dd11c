package org.masticpaddle.routing;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;

import org.masticpaddle.document.Organisation;
import org.masticpaddle.document.VersionName;

/**
 * Properties of a request that the {@link VersionSelector} takes into account. Immutable and thread-safe.
 *
 * @param organisation organisation of the caller
 * @param kind request kind
 * @param modelSelector selector of the model or version
 * @param quality required quality given by the request, which replaces the organisation's; empty if the request gives
 *     none
 * @param idempotent whether the request may run more than once
 * @param promptTokens length of the prompt in tokens
 * @param outputTokens expected number of generated tokens
 * @param timeLeftMillis time until the deadline in milliseconds
 * @param stickyKey identifier of the session, or of a request without a session
 * @param session whether the request belongs to a session
 * @param binding version to which the session is bound, empty for a new session or none
 */
public record VersionRequest(
        Organisation organisation,
        String kind,
        ModelSelector modelSelector,
        OptionalDouble quality,
        boolean idempotent,
        int promptTokens,
        int outputTokens,
        long timeLeftMillis,
        String stickyKey,
        boolean session,
        Optional<VersionName> binding) {
    /** Checks the arguments. */
    public VersionRequest {
        Objects.requireNonNull(organisation, "organisation is null");
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(modelSelector, "modelSelector is null");
        Objects.requireNonNull(quality, "quality is null");
        Objects.requireNonNull(stickyKey, "stickyKey is null");
        Objects.requireNonNull(binding, "binding is null");
    }

    /**
     * Returns the required quality: the one given by the request, clamped to the range 0 to 1, or else the
     * organisation's.
     *
     * @return quality between 0 and 1
     */
    public double requiredQuality() {
        final double requested = quality.orElse(organisation.quality());
        return Double.isNaN(requested) ? organisation.quality() : Math.min(1, Math.max(0, requested));
    }
}
