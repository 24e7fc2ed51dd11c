package org.masticpaddle.claim;

import java.util.Optional;

/** Final or current state of an attempt, as its sidecar knows it. Immutable, but for the bytes of an answer. */
public sealed interface AttemptStatus {
    /**
     * The attempt has finished.
     *
     * @param status HTTP status of the answer
     * @param answer the whole answer, empty if it was too long to keep
     */
    record Answered(int status, Optional<byte[]> answer) implements AttemptStatus {}

    /** The attempt is running. */
    record Running() implements AttemptStatus {}

    /** The attempt did not run and never will. */
    record Sealed() implements AttemptStatus {}

    /** The attempt may have run: it ended without an answer, or this sidecar cannot tell. */
    record Unknown() implements AttemptStatus {}
}
