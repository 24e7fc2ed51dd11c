package org.masticpaddle.claim;

import java.util.Optional;

import org.masticpaddle.wire.RunState;

/** Result of a {@link ClaimRequest}. Immutable. */
public sealed interface ClaimDecision {
    /**
     * The claim was read back as the claim that holds its key. The entry may dispatch its attempt once, to the claim's
     * sidecar.
     *
     * @param claim the claim that was won
     */
    record Won(ClaimRecord.Claim claim) implements ClaimDecision {}

    /**
     * Another claim with the same body hash holds the key. The status of its attempt has to be resolved at its sidecar.
     *
     * @param claim the claim that holds the key
     * @param outcome the recorded outcome, empty if none has been read
     */
    record Stands(ClaimRecord.Claim claim, Optional<ClaimRecord.Outcome> outcome) implements ClaimDecision {}

    /**
     * A claim with a different body hash holds the key.
     *
     * @param claim the claim that holds the key
     */
    record BodyDiffers(ClaimRecord.Claim claim) implements ClaimDecision {}

    /**
     * The claim was not decided in time. The request itself never runs.
     *
     * @param runState {@link RunState#NOT_RUN} if no earlier request with the key had a claim on the log when this
     *     request was abandoned, else {@link RunState#UNKNOWN}
     * @param reason the reason, for logs and error messages
     */
    record Unavailable(RunState runState, Reason reason) implements ClaimDecision {}

    /**
     * The key is rejected.
     *
     * @param reason the reason for the rejection
     */
    record KeyRefused(KeyRejection reason) implements ClaimDecision {}

    /** Reason why a claim was not decided. */
    enum Reason {
        /** The claim was not read back before the deadline. */
        DEADLINE,
        /** The maximum number of pending requests is reached. */
        BUFFER_FULL,
        /** The entry already tracks the maximum number of keys within their lifetime. */
        LEDGER_FULL,
        /** The entry is stopping. */
        STOPPING
    }

    /**
     * Returns the decision on a request whose key is held by another claim.
     *
     * @param request request whose body hash is compared
     * @param current the claim that holds the key
     * @return {@link Stands} if the body hashes are equal, else {@link BodyDiffers}
     */
    static ClaimDecision ofHeldKey(ClaimRequest request, CurrentClaim current) {
        return current.claim().bodyHash().equals(request.bodyHash())
                ? new Stands(current.claim(), current.outcome())
                : new BodyDiffers(current.claim());
    }
}
