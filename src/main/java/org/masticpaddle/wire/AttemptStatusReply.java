package org.masticpaddle.wire;

import java.util.Locale;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Reply of a sidecar to an {@link AttemptStatusQuery}. Immutable, except for the bytes of the answer.
 *
 * @param attemptId identifier of the attempt
 * @param incarnation incarnation of the sidecar that replies
 * @param state state of the attempt
 * @param status HTTP status of the recorded answer, 0 if none is recorded
 * @param answer recorded answer, empty if none is recorded
 */
public record AttemptStatusReply(String attemptId, long incarnation, State state, int status, byte[] answer) {
    /** State of an attempt. */
    public enum State {
        /** It completed and its answer is recorded. */
        ANSWERED,
        /** It ended without a complete answer and may have taken effect. */
        FAILED,
        /** It is running or queued. */
        RUNNING,
        /** It has not run and is fenced: this incarnation will reject it. */
        SEALED,
        /** It may have run; for example, it belongs to another incarnation, of whose attempts there is no record. */
        UNKNOWN;

        /**
         * Returns the name used in messages.
         *
         * @return name of the constant in lower case
         */
        @JsonValue
        public String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }
}
