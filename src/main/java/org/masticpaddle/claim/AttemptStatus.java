package org.masticpaddle.claim;

import java.util.Optional;

/** Status of an attempt as recorded by its sidecar. Immutable, except for the bytes of an answer. */
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

    /** The attempt is fenced: it has not run and never will. */
    record Sealed() implements AttemptStatus {}

    /** The attempt may have run: it ended without a complete answer, or this sidecar has no record of it. */
    record Unknown() implements AttemptStatus {}
}
