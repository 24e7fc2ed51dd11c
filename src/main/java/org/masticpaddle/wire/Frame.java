package org.masticpaddle.wire;

import java.util.Map;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** One line of a sidecar's response to a {@link Dispatch}. All frames are immutable, except for the bytes of data. */
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
     * Returns the attempt to which the frame belongs.
     *
     * @return identifier of the attempt
     */
    String attemptId();

    /**
     * The sidecar has accepted the attempt and will run it unless it is cancelled first. Repeated as a heartbeat.
     *
     * @param attemptId identifier of the attempt
     * @param load current load of the upstream
     */
    record Accepted(String attemptId, LoadReport load) implements Frame {}

    /**
     * Status and headers of the upstream's response.
     *
     * @param attemptId identifier of the attempt
     * @param status HTTP status
     * @param headers headers to relay, by lower-case name
     */
    record Head(String attemptId, int status, Map<String, String> headers) implements Frame {}

    /**
     * Consecutive bytes of the answer.
     *
     * @param attemptId identifier of the attempt
     * @param offset position of the first byte in the whole answer
     * @param bytes UTF-8 text of a model's answer, or bytes of a plain service's body
     */
    record Data(String attemptId, long offset, byte[] bytes) implements Frame {}

    /**
     * End of a complete answer.
     *
     * @param attemptId identifier of the attempt
     * @param length length of the whole answer in bytes
     * @param hash checksum of the whole answer, see {@link AnswerChecksum}
     * @param finishReason finish reason reported by the engine, {@code stop} for a plain service
     * @param charge cost of the attempt
     * @param load current load of the upstream
     */
    record End(String attemptId, long length, long hash, String finishReason, Charge charge, LoadReport load)
            implements Frame {}

    /**
     * The attempt was rejected or ended without a complete answer.
     *
     * @param attemptId identifier of the attempt
     * @param reason machine-readable reason, for example {@code draining}
     * @param message explanation for people
     * @param run whether the attempt ran on the upstream
     * @param load current load of the upstream
     */
    record Failed(String attemptId, String reason, String message, RunState run, LoadReport load) implements Frame {}
}
