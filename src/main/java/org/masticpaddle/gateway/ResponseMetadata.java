package org.masticpaddle.gateway;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;

import org.masticpaddle.fleet.ReportedLoad;

/**
 * Metadata from the headers of an upstream's response. Immutable.
 *
 * @param requestId identifier of the request that is answered, empty if the response names none
 * @param notRun whether the upstream states that it did not run the request
 * @param signed whether the response has a signature header, which only upstreams set
 * @param load load that the upstream reports, empty if it reports none
 * @param confidence confidence of the model in its answer, from 0 to 100, empty if it reports none
 * @param requestsPerSecond requests a second that the upstream accepts from all gateways together, empty if it states no limit
 * @param keepAliveSeconds keep-alive timeout of the connection in seconds, empty if the upstream announces none
 */
public record ResponseMetadata(
        Optional<String> requestId,
        boolean notRun,
        boolean signed,
        Optional<ReportedLoad> load,
        OptionalInt confidence,
        OptionalDouble requestsPerSecond,
        OptionalLong keepAliveSeconds) {
    /** Checks the arguments. */
    public ResponseMetadata {
        Objects.requireNonNull(requestId, "requestId is null");
        Objects.requireNonNull(load, "load is null");
        Objects.requireNonNull(confidence, "confidence is null");
        Objects.requireNonNull(requestsPerSecond, "requestsPerSecond is null");
    }
}
