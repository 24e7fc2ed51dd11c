package org.masticpaddle.admission;

import java.util.Objects;

import org.masticpaddle.wire.RunState;

/**
 * Refusal of a request that waits or asks for a place. Immutable and thread-safe.
 *
 * @param request the request
 * @param reason why
 * @param retryAfterNanos time after which a new try has a chance, in nanoseconds, above 0
 */
public record Rejection(WaitingRequest request, RejectionReason reason, long retryAfterNanos) {
    /** Checks the arguments. */
    public Rejection {
        Objects.requireNonNull(request, "request is null");
        Objects.requireNonNull(reason, "reason is null");
    }

    /**
     * Returns whether this call ran; an earlier call with the same key is the caller's to consider.
     *
     * @return {@link RunState#RAN} if it was cancelled for more urgent work after it had begun, else
     *     {@link RunState#NOT_RUN}
     */
    public RunState runState() {
        return request.partiallyRun() ? RunState.RAN : RunState.NOT_RUN;
    }

    /**
     * Returns the value of the header {@code Retry-After}.
     *
     * @return whole seconds, rounded up, from 1 to 600
     */
    public long retryAfterSeconds() {
        final long seconds = Math.floorDiv(retryAfterNanos - 1, 1_000_000_000L) + 1;
        return Math.max(1, Math.min(600, seconds));
    }
}
