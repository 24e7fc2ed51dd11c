package org.masticpaddle.gateway;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Metadata that the gateway sends to an upstream with a request. Immutable.
 *
 * @param upstreamId identifier of the only upstream that may run the request
 * @param remainingMillis time until the deadline of the request, in milliseconds, at least 1
 * @param organisation organisation of the caller, empty on routes that need no API key
 * @param model model that the gateway chose, empty if the caller selected one or the service is plain
 * @param rank rank of the request, 0 is the most urgent
 * @param levelWithinRank level of the request among those of its rank, from 0 for the most urgent to 2
 * @param resumeAfter identifier of the event after which a stream resumes, empty for a stream from its start
 */
public record UpstreamRequestMetadata(
        String upstreamId,
        long remainingMillis,
        Optional<String> organisation,
        Optional<String> model,
        int rank,
        int levelWithinRank,
        OptionalLong resumeAfter) {
    /** Checks the arguments. */
    public UpstreamRequestMetadata {
        Objects.requireNonNull(upstreamId, "upstreamId is null");
        Objects.requireNonNull(organisation, "organisation is null");
        Objects.requireNonNull(model, "model is null");
        Objects.requireNonNull(resumeAfter, "resumeAfter is null");
    }
}
