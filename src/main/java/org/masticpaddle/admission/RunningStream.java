package org.masticpaddle.admission;

import java.util.Objects;

/**
 * A dispatched request that might be cancelled and resumed later. Immutable and thread-safe.
 *
 * @param request the request
 * @param tokensDone tokens that it has produced, to be prefilled again on resume
 * @param resumable whether the engine can resume it; never true for a non-idempotent request
 * @param resumed how often it was cancelled and resumed before
 */
public record RunningStream(WaitingRequest request, long tokensDone, boolean resumable, int resumed) {
    /** Checks the arguments. */
    public RunningStream {
        Objects.requireNonNull(request, "request is null");
    }
}
