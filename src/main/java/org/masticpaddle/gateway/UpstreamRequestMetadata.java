package org.masticpaddle.gateway;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What the gateway tells an upstream with a request. Immutable.
 *
 * @param upstreamId upstream that alone may run the request
 * @param remainingMillis time that is left for the answer
 * @param organisation organisation of the caller, empty on open routes
 * @param model model that the gateway chose, empty if the caller named one or the service is plain
 * @param rank priority class, 0 is the most urgent
 * @param resumeAfter event after which a stream goes on
 */
public record UpstreamRequestMetadata(
        String upstreamId,
        long remainingMillis,
        Optional<String> organisation,
        Optional<String> model,
        int rank,
        OptionalLong resumeAfter) {
    /** Checks the arguments. */
    public UpstreamRequestMetadata {
        Objects.requireNonNull(upstreamId, "upstreamId is null");
        Objects.requireNonNull(organisation, "organisation is null");
        Objects.requireNonNull(model, "model is null");
        Objects.requireNonNull(resumeAfter, "resumeAfter is null");
    }
}
