package org.masticpaddle.gateway;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;

import org.masticpaddle.fleet.SelfReport;

/**
 * Metadata from the headers of an upstream's response. Immutable.
 *
 * @param requestId identifier of the request that is answered, empty if the response names none
 * @param notRun whether the upstream states that it did not run the request
 * @param signed whether the response has a signature header, which only upstreams set
 * @param confidence confidence of the model in its answer, from 0 to 100, empty if it reports none
 * @param self what the upstream says of itself
 */
public record ResponseMetadata(
        Optional<String> requestId, boolean notRun, boolean signed, OptionalInt confidence, SelfReport self) {
    /** Checks the arguments. */
    public ResponseMetadata {
        Objects.requireNonNull(requestId, "requestId is null");
        Objects.requireNonNull(confidence, "confidence is null");
        Objects.requireNonNull(self, "self is null");
    }
}
