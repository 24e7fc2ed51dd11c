package org.masticpaddle.claim;

/** Effect of one log record on a {@link ClaimLedger}. Immutable. */
public sealed interface ApplyResult {
    /** The record changed nothing: it is malformed, was read before, or belongs to no claim that holds a key. */
    record Ignored() implements ApplyResult {}

    /**
     * The claim is the first of its round and holds the key from now on.
     *
     * @param claim the claim that was won
     */
    record Won(ClaimRecord.Claim claim) implements ApplyResult {}

    /**
     * Another claim holds the key.
     *
     * @param claim the claim that was not won
     * @param current the claim that holds the key
     */
    record KeyHeld(ClaimRecord.Claim claim, CurrentClaim current) implements ApplyResult {}

    /**
     * The claim is of an earlier round: it was made before its entry applied a release that precedes it on the log.
     *
     * @param claim the claim that was not won
     */
    record Stale(ClaimRecord.Claim claim) implements ApplyResult {}

    /**
     * The key's lifetime does not contain the time of the append.
     *
     * @param claim the claim that was not won
     */
    record OutsideLifetime(ClaimRecord.Claim claim) implements ApplyResult {}

    /**
     * The key is not tracked: the ledger is full, or was full when an earlier claim of this key may have been read.
     *
     * @param claim the claim that was not won
     */
    record Untracked(ClaimRecord.Claim claim) implements ApplyResult {}

    /**
     * The claim that held the key was released.
     *
     * @param claim the claim that was released
     */
    record Released(ClaimRecord.Claim claim) implements ApplyResult {}

    /**
     * The outcome of the claim that holds the key was read.
     *
     * @param current the claim that holds the key, with its outcome
     */
    record OutcomeRecorded(CurrentClaim current) implements ApplyResult {}
}
