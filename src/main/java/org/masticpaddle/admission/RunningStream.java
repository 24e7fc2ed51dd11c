package org.masticpaddle.admission;

import java.util.Objects;

/**
 * Dispatched request that may be preempted, that is, cancelled and resumed later. Immutable and thread-safe.
 *
 * @param request the dispatched request
 * @param tokensProduced tokens that it has produced; the engine prefills them again on a resume
 * @param resumable whether the engine can resume it; never true for a non-idempotent request
 * @param resumeCount number of times that it has been cancelled and resumed
 */
public record RunningStream(WaitingRequest request, long tokensProduced, boolean resumable, int resumeCount) {
    /** Checks the arguments. */
    public RunningStream {
        Objects.requireNonNull(request, "request is null");
    }
}
