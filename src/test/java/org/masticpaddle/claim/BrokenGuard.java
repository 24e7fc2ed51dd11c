package org.masticpaddle.claim;

/** Guard that the simulation disables, to show that it detects the resulting violation. */
enum BrokenGuard {
    /** No guard is disabled. */
    NONE,
    /** The entry dispatches when the append of its claim is acknowledged, without reading it back. */
    WIN_NEEDS_READ_BACK,
    /** The entry applies its own claims before those of other entries. */
    FIRST_CLAIM_WINS,
    /** A restarted entry reads the partition from its tail instead of the start of the key lifetime. */
    READ_FROM_START_OF_LIFETIME,
    /** The sidecar runs a repeated dispatch. */
    ATTEMPT_RUNS_ONCE,
    /** The sidecar runs a fenced attempt. */
    FENCED_ATTEMPT_NEVER_RUNS,
    /** The sidecar runs a dispatch addressed to another incarnation. */
    INCARNATION_IS_CHECKED,
    /** The sidecar runs an attempt older than the key lifetime. */
    EXPIRED_ATTEMPT_IS_REJECTED,
    /** The entry releases a claim whose attempt is not fenced. */
    RELEASE_NEEDS_FENCED_ATTEMPT,
    /** The entry reports "not run" whenever its claim was not decided. */
    NOT_RUN_NEEDS_TAIL,
    /** The entry reports "not run" after a read to the tail that started before the request was abandoned. */
    NOT_RUN_NEEDS_READ_AFTER_ABANDONMENT,
    /** The reader of the charges counts every record, including duplicates. */
    CHARGE_COUNTS_ONCE,
    /** The entry has the sidecar discard a held charge before its own append is acknowledged. */
    DISCARD_NEEDS_ACKNOWLEDGED_APPEND
}
