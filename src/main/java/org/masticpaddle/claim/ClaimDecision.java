package org.masticpaddle.claim;

import java.util.Optional;

import org.masticpaddle.wire.RunState;

/** Result of a {@link ClaimRequest}. Immutable. */
public sealed interface ClaimDecision {
    /**
     * The claim was read back first in order: the entry may dispatch its attempt, once, to its sidecar.
     *
     * @param claim the claim
     */
    record Won(ClaimRecord.Claim claim) implements ClaimDecision {}

    /**
     * Another claim with the same body holds the key; its attempt is to be settled at its sidecar.
     *
     * @param claim the claim that holds the key
     * @param outcome the outcome, if it was read
     */
    record Stands(ClaimRecord.Claim claim, Optional<ClaimRecord.Outcome> outcome) implements ClaimDecision {}

    /**
     * Another claim with another body holds the key.
     *
     * @param claim the claim that holds the key
     */
    record BodyDiffers(ClaimRecord.Claim claim) implements ClaimDecision {}

    /**
     * No claim could be decided in time. The request itself never runs.
     *
     * @param runState {@link RunState#NOT_RUN} if no earlier call with the key had a claim on the log when the request was
     *     given up, else {@link RunState#UNKNOWN}
     * @param reason why, for logs and error messages
     */
    record Unavailable(RunState runState, Reason reason) implements ClaimDecision {}

    /**
     * The key is refused.
     *
     * @param reason the reason
     */
    record KeyRefused(KeyRejection reason) implements ClaimDecision {}

    /** Why no claim could be decided. */
    enum Reason {
        /** The claim was not read back before the deadline. */
        DEADLINE,
        /** Too many requests wait for claims. */
        BUFFER_FULL,
        /** More keys are within their lifetime than the entry can hold. */
        LEDGER_FULL,
        /** The entry is stopping. */
        STOPPING
    }

    /**
     * Compares a request with the claim that holds its key.
     *
     * @param request the request
     * @param standing the claim
     * @return {@link Stands} or {@link BodyDiffers}
     */
    static ClaimDecision behind(ClaimRequest request, Standing standing) {
        return standing.claim().bodyHash().equals(request.bodyHash())
                ? new Stands(standing.claim(), standing.outcome())
                : new BodyDiffers(standing.claim());
    }
}
