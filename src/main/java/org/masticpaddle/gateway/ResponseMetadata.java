package org.masticpaddle.gateway;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

import org.masticpaddle.fleet.ReportedLoad;

/**
 * What an upstream's answer says beside its body. Immutable.
 *
 * @param requestId request that it answers, if it says so
 * @param notRun whether the upstream states that it did not run the request
 * @param signed whether the answer has the upstream's signature
 * @param load load of the upstream
 * @param confidence the model's opinion of its answer, from 0 to 100
 * @param keepAliveSeconds time for which the upstream keeps the connection open while idle
 */
public record ResponseMetadata(
        Optional<String> requestId,
        boolean notRun,
        boolean signed,
        Optional<ReportedLoad> load,
        OptionalInt confidence,
        OptionalLong keepAliveSeconds) {
    /** Checks the arguments. */
    public ResponseMetadata {
        Objects.requireNonNull(requestId, "requestId is null");
        Objects.requireNonNull(load, "load is null");
        Objects.requireNonNull(confidence, "confidence is null");
    }
}
