package org.masticpaddle.claim;

/** Guard that the exploration removes to show that it would notice its absence. */
enum BrokenGuard {
    /** All guards are in place. */
    NONE,
    /** The entry dispatches on the acknowledgement of the append. */
    WIN_NEEDS_READ_BACK,
    /** The entry sees its own claims before those of others. */
    FIRST_CLAIM_WINS,
    /** A restarted entry reads the partition from the tail on. */
    READ_FROM_START_OF_LIFETIME,
    /** The sidecar runs a repeated dispatch. */
    ATTEMPT_RUNS_ONCE,
    /** The sidecar runs a sealed attempt. */
    FENCED_ATTEMPT_NEVER_RUNS,
    /** The sidecar runs a dispatch addressed to another incarnation. */
    INCARNATION_IS_CHECKED,
    /** The sidecar runs an attempt older than the key lifetime. */
    EXPIRED_ATTEMPT_IS_REJECTED,
    /** The entry releases a claim whose attempt is not sealed. */
    RELEASE_NEEDS_FENCED_ATTEMPT,
    /** The entry says "not run" whenever its claim was not decided. */
    NOT_RUN_NEEDS_TAIL,
    /** The entry says "not run" after a read of the tail that began before it gave up. */
    NOT_RUN_NEEDS_READ_AFTER_ABANDONMENT,
    /** The reader counts every charge record. */
    CHARGE_COUNTS_ONCE,
    /** The entry settles a charge before its append is acknowledged. */
    DISCARD_NEEDS_ACKNOWLEDGED_APPEND
}
