package org.masticpaddle.sidecar;

import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.masticpaddle.wire.AttemptStatusQuery;
import org.masticpaddle.wire.AttemptStatusReply;
import org.masticpaddle.wire.Dispatch;
import org.masticpaddle.wire.ResponseStream;

/**
 * Event for the thread that owns the attempts of a sidecar. The request number distinguishes the requests of an
 * attempt.
 */
sealed interface SidecarEvent {
    /** An entry sent a dispatch, either new or to resume an attempt. */
    record DispatchReceived(Dispatch dispatch, ResponseStream responseStream) implements SidecarEvent {}

    /** Status and headers of the upstream's response arrived. */
    record HeadReceived(String attemptId, int requestNumber, int status, Map<String, String> headers)
            implements SidecarEvent {}

    /** Bytes of the body of the upstream's response arrived. */
    record BytesReceived(String attemptId, int requestNumber, byte[] bytes) implements SidecarEvent {}

    /** A request to the upstream ended; the error is {@code null} if there was no transport error. */
    record RequestEnded(String attemptId, int requestNumber, Throwable error) implements SidecarEvent {}

    /** An entry cancelled an attempt. */
    record Cancelled(String attemptId) implements SidecarEvent {}

    /** The connection to the entry was lost. */
    record EntryDisconnected(String attemptId, ResponseStream responseStream) implements SidecarEvent {}

    /** An entry queried the status of an attempt. */
    record StatusQueried(AttemptStatusQuery query, CompletableFuture<AttemptStatusReply> reply)
            implements SidecarEvent {}

    /** The graceful shutdown starts; the future completes when no attempt is queued or running. */
    record Drain(CompletableFuture<Void> drained) implements SidecarEvent {}
}
