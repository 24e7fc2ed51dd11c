package org.masticpaddle.claim;

import java.util.Objects;
import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.masticpaddle.wire.Json;
import org.masticpaddle.wire.MalformedMessageException;

/** Record of a claim partition on the log. All cases are immutable, except for the bytes of an answer. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = ClaimRecord.Claim.class, name = "claim"),
    @JsonSubTypes.Type(value = ClaimRecord.Release.class, name = "release"),
    @JsonSubTypes.Type(value = ClaimRecord.Outcome.class, name = "outcome")
})
public sealed interface ClaimRecord {
    /**
     * Returns the key that the record belongs to.
     *
     * @return idempotency key of the request
     */
    IdempotencyKey key();

    /**
     * Returns the attempt that the record belongs to.
     *
     * @return attempt identifier
     */
    String attemptId();

    /**
     * Encodes the record with its type.
     *
     * @return UTF-8 JSON
     */
    default byte[] encode() {
        return Json.encode(this);
    }

    /**
     * Decodes a record.
     *
     * @param bytes content of a log record
     * @return the record, empty if the bytes are not a valid claim record
     */
    static Optional<ClaimRecord> decode(byte[] bytes) {
        try {
            return Optional.of(Json.decode(bytes, ClaimRecord.class));
        } catch (MalformedMessageException e) {
            return Optional.empty();
        }
    }

    /**
     * Claim of a key for one attempt on one sidecar. The first claim of a round on the log holds the key.
     *
     * @param key key of the request
     * @param bodyHash hash of the request's method, path and body
     * @param attemptId identifier of the attempt
     * @param round number of releases of the key that the entry had applied; a claim of an older round cannot win, so
     *     that a late or repeated append has no effect after a release
     * @param sidecar the only instance that may run the attempt
     * @param incarnation incarnation of that instance
     */
    record Claim(IdempotencyKey key, String bodyHash, String attemptId, long round, String sidecar, long incarnation)
            implements ClaimRecord {
        /** Checks the arguments. */
        public Claim {
            Objects.requireNonNull(key, "key is null");
            Objects.requireNonNull(bodyHash, "bodyHash is null");
            Objects.requireNonNull(attemptId, "attemptId is null");
            Objects.requireNonNull(sidecar, "sidecar is null");
        }
    }

    /**
     * Release of a key, as its attempt has not run and never will: its sidecar fenced it, or its entry never sent it.
     *
     * @param key key of the request
     * @param attemptId identifier of the attempt
     */
    record Release(IdempotencyKey key, String attemptId) implements ClaimRecord {
        /** Checks the arguments. */
        public Release {
            Objects.requireNonNull(key, "key is null");
            Objects.requireNonNull(attemptId, "attemptId is null");
        }
    }

    /**
     * Outcome of an attempt, stored on the log so that it survives a crash of the sidecar.
     *
     * @param key key of the request
     * @param attemptId identifier of the attempt
     * @param status HTTP status of the answer
     * @param complete whether {@code answer} is the complete answer
     * @param answer the answer, empty if it is not complete
     */
    record Outcome(IdempotencyKey key, String attemptId, int status, boolean complete, byte[] answer)
            implements ClaimRecord {
        /** Maximum size in bytes of an answer that is written to the log. Keeps a batch of outcomes small. */
        public static final int MAX_ANSWER_BYTES = 4096;

        /** Checks the arguments. */
        public Outcome {
            Objects.requireNonNull(key, "key is null");
            Objects.requireNonNull(attemptId, "attemptId is null");
            Objects.requireNonNull(answer, "answer is null");
        }

        /**
         * Creates the outcome of a claim, without the answer if that is longer than {@link #MAX_ANSWER_BYTES}.
         *
         * @param claim claim of the attempt
         * @param status HTTP status of the answer
         * @param answer the complete answer
         * @return the outcome, not complete if the answer was left out
         */
        public static Outcome of(Claim claim, int status, byte[] answer) {
            final Outcome outcome = new Outcome(claim.key(), claim.attemptId(), status, true, answer);
            return answer.length <= MAX_ANSWER_BYTES ? outcome : outcome.withoutAnswer();
        }

        /**
         * Returns a copy of this outcome without its answer.
         *
         * @return outcome with the same status, marked as not complete
         */
        public Outcome withoutAnswer() {
            return new Outcome(key, attemptId, status, false, new byte[0]);
        }
    }
}
