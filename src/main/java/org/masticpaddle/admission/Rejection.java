package org.masticpaddle.admission;

import java.util.Objects;

import org.masticpaddle.wire.RunState;

/**
 * Rejection of an arriving or waiting request. Immutable and thread-safe.
 *
 * @param request the rejected request
 * @param reason reason of the rejection
 * @param retryAfterNanos time after which a retry may succeed, in nanoseconds, above 0
 */
public record Rejection(WaitingRequest request, RejectionReason reason, long retryAfterNanos) {
    /** Checks the arguments. */
    public Rejection {
        Objects.requireNonNull(request, "request is null");
        Objects.requireNonNull(reason, "reason is null");
    }

    /**
     * Returns whether this request ran. It is up to the caller to consider earlier requests with the same idempotency
     * key.
     *
     * @return {@link RunState#RAN} if the request was preempted after it had started, else {@link RunState#NOT_RUN}
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
