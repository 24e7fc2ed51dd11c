package org.masticpaddle.routing;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;

import org.masticpaddle.document.Organisation;
import org.masticpaddle.document.VersionName;

/**
 * What the choice of a version needs to know of a request. Immutable and thread-safe.
 *
 * @param organisation organisation that asks
 * @param kind request kind
 * @param modelSelector model or version asked for
 * @param quality quality asked for by the request, which replaces the organisation's and is clamped to 0 to 1
 * @param idempotent whether the request may run more than once
 * @param promptTokens tokens of the prompt
 * @param outputTokens expected generated tokens
 * @param timeLeftMillis time until the deadline, in milliseconds
 * @param stickyKey session id, or the request id of a request without a session
 * @param session whether the request belongs to a session
 * @param binding version that the session is bound to
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
        Objects.requireNonNull(modelSelector, "wish is null");
        Objects.requireNonNull(quality, "quality is null");
        Objects.requireNonNull(stickyKey, "stickyKey is null");
        Objects.requireNonNull(binding, "binding is null");
    }

    /**
     * Returns the quality that the answer needs.
     *
     * @return quality between 0 and 1
     */
    public double requiredQuality() {
        final double asked = quality.orElse(organisation.quality());
        return Double.isNaN(asked) ? organisation.quality() : Math.min(1, Math.max(0, asked));
    }
}
