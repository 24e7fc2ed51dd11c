package org.masticpaddle.sidecar;

import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.masticpaddle.wire.Dispatch;
import org.masticpaddle.wire.ResponseStream;
import org.masticpaddle.wire.AttemptStatusQuery;
import org.masticpaddle.wire.AttemptStatusReply;

/** Message to the thread that owns the attempts of a sidecar. */
sealed interface SidecarEvent {
    /** A dispatch from an entry, new or repeated. */
    record Arrived(Dispatch dispatch, ResponseStream listener) implements SidecarEvent {}

    /** Status and headers of the upstream's answer. The call number tells the calls of one attempt apart. */
    record Head(String attemptId, int call, int status, Map<String, String> headers) implements SidecarEvent {}

    /** Bytes of the upstream's answer. */
    record Bytes(String attemptId, int call, byte[] bytes) implements SidecarEvent {}

    /** End of the upstream's answer; the error is {@code null} if the transport saw none. */
    record Ended(String attemptId, int call, Throwable error) implements SidecarEvent {}

    /** An entry waits for an answer no longer, by its own word. */
    record Cancelled(String attemptId) implements SidecarEvent {}

    /** The connection to the entry is gone. */
    record Detached(String attemptId, ResponseStream listener) implements SidecarEvent {}

    /** Question what became of an attempt. */
    record Settle(AttemptStatusQuery query, CompletableFuture<AttemptStatusReply> reply) implements SidecarEvent {}

    /** Start of the graceful shutdown; the future completes when no attempt is left. */
    record Drain(CompletableFuture<Void> drained) implements SidecarEvent {}
}
