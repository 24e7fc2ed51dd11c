package org.masticpaddle.claim;

import java.util.Objects;
import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.masticpaddle.wire.Json;
import org.masticpaddle.wire.MalformedMessageException;

/** Record of a claim partition on the log. All cases are immutable, but for the bytes of an answer. */
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
     * @return the key
     */
    IdempotencyKey key();

    /**
     * Returns the attempt that the record belongs to.
     *
     * @return attempt identifier
     */
    String attemptId();

    /**
     * Encodes the record.
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
     * @return the record, empty if the bytes are no claim record
     */
    static Optional<ClaimRecord> decode(byte[] bytes) {
        try {
            return Optional.of(Json.decode(bytes, ClaimRecord.class));
        } catch (MalformedMessageException e) {
            return Optional.empty();
        }
    }

    /**
     * Wish to run a request as one attempt on one sidecar.
     *
     * @param key key of the request
     * @param bodyHash hash of the request's method, path and body
     * @param attemptId identifier of the attempt
     * @param round number of releases of the key that the entry had read; a claim of an older round cannot win, so that
     *     a late or repeated append has no effect after a release
     * @param sidecar instance that alone may run the attempt
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
     * Statement that an attempt did not run and never will: its sidecar sealed it, or its entry never sent it.
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
     * Result of an attempt, kept on the log so that it survives the sidecar.
     *
     * @param key key of the request
     * @param attemptId identifier of the attempt
     * @param status HTTP status of the answer
     * @param complete whether {@code answer} is the whole answer
     * @param answer the answer, empty if it is longer than {@link #MAX_ANSWER_BYTES}
     */
    record Outcome(IdempotencyKey key, String attemptId, int status, boolean complete, byte[] answer)
            implements ClaimRecord {
        /** Longest answer that is put on the log, in bytes. Keeps a batch of outcomes small. */
        public static final int MAX_ANSWER_BYTES = 4096;

        /** Checks the arguments. */
        public Outcome {
            Objects.requireNonNull(key, "key is null");
            Objects.requireNonNull(attemptId, "attemptId is null");
            Objects.requireNonNull(answer, "answer is null");
        }

        /**
         * Creates the outcome of a claim, without the answer if that is too long.
         *
         * @param claim claim of the attempt
         * @param status HTTP status of the answer
         * @param answer the whole answer
         * @return the outcome
         */
        public static Outcome of(Claim claim, int status, byte[] answer) {
            final Outcome whole = new Outcome(claim.key(), claim.attemptId(), status, true, answer);
            return answer.length <= MAX_ANSWER_BYTES ? whole : whole.withoutAnswer();
        }

        /**
         * Returns this outcome with its status alone.
         *
         * @return outcome that is not complete
         */
        public Outcome withoutAnswer() {
            return new Outcome(key, attemptId, status, false, new byte[0]);
        }
    }
}
