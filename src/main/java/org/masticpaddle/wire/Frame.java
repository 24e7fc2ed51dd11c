package org.masticpaddle.wire;

import java.util.Map;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** One line of a sidecar's answer to a {@link Dispatch}. All cases are immutable, but for the data's bytes. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = Frame.Accepted.class, name = "accepted"),
    @JsonSubTypes.Type(value = Frame.Head.class, name = "head"),
    @JsonSubTypes.Type(value = Frame.Data.class, name = "data"),
    @JsonSubTypes.Type(value = Frame.End.class, name = "end"),
    @JsonSubTypes.Type(value = Frame.Failed.class, name = "failed")
})
public sealed interface Frame {
    /**
     * Returns the attempt that the frame belongs to.
     *
     * @return attempt identifier
     */
    String attemptId();

    /**
     * The sidecar has taken the attempt and will run it unless it is cancelled first.
     *
     * @param attemptId attempt identifier
     * @param load load of the upstream
     */
    record Accepted(String attemptId, LoadReport load) implements Frame {}

    /**
     * Status and headers of the upstream's answer.
     *
     * @param attemptId attempt identifier
     * @param status HTTP status
     * @param headers headers to pass on
     */
    record Head(String attemptId, int status, Map<String, String> headers) implements Frame {}

    /**
     * Part of the answer.
     *
     * @param attemptId attempt identifier
     * @param offset position of the first byte in the whole answer
     * @param bytes UTF-8 text of a model's answer, or bytes of a plain service's body
     */
    record Data(String attemptId, long offset, byte[] bytes) implements Frame {}

    /**
     * Complete end of the answer.
     *
     * @param attemptId attempt identifier
     * @param length length of the whole answer in bytes
     * @param hash hash of the whole answer
     * @param finishReason reason given by the engine
     * @param charge cost of the attempt
     * @param load load of the upstream
     */
    record End(String attemptId, long length, long hash, String finishReason, Charge charge, LoadReport load)
            implements Frame {}

    /**
     * The attempt brought no complete answer.
     *
     * @param attemptId attempt identifier
     * @param reason machine-readable reason, for example {@code draining}
     * @param message explanation
     * @param run whether the attempt ran
     * @param load load of the upstream
     */
    record Failed(String attemptId, String reason, String message, RunState run, LoadReport load) implements Frame {}
}
