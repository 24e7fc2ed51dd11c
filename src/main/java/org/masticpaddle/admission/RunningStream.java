package org.masticpaddle.admission;

import java.util.Objects;

/**
 * A dispatched request that might be cancelled and resumed later. Immutable and thread-safe.
 *
 * @param request the request
 * @param tokensProduced tokens that it has produced, to be prefilled again on resume
 * @param resumable whether the engine can resume it; never true for a non-idempotent request
 * @param resumeCount how often it was cancelled and resumed before
 */
public record RunningStream(WaitingRequest request, long tokensProduced, boolean resumable, int resumeCount) {
    /** Checks the arguments. */
    public RunningStream {
        Objects.requireNonNull(request, "request is null");
    }
}
