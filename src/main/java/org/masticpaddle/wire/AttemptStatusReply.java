package org.masticpaddle.wire;

import java.util.Locale;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * A sidecar's answer to the question what became of an attempt. Immutable, but for the answer's bytes.
 *
 * @param attemptId attempt identifier
 * @param incarnation incarnation of the sidecar that answers
 * @param state what became of the attempt
 * @param status HTTP status of the recorded answer, 0 if there is none
 * @param answer recorded answer, empty if there is none
 */
public record AttemptStatusReply(String attemptId, long incarnation, State state, int status, byte[] answer) {
    /** What became of an attempt. */
    public enum State {
        /** It ended and its answer is recorded. */
        ANSWERED,
        /** It ended without a whole answer, and may have had its effect. */
        FAILED,
        /** It runs or waits to run. */
        RUNNING,
        /** It has not run, and this incarnation will refuse to run it from now on. */
        SEALED,
        /** It belongs to another incarnation, of which nothing is known. */
        UNKNOWN;

        /**
         * Returns the name in messages.
         *
         * @return lower-case name
         */
        @JsonValue
        public String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }
}
