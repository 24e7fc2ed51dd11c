package org.masticpaddle.claim;

import org.masticpaddle.wire.RunState;

/**
 * Decision of an {@link AttemptTable} on whether a dispatched attempt runs. The run state is valid for an entry that
 * sends each dispatch once. After a repeated dispatch only {@link AttemptTable#resolve} can prove that the attempt did
 * not run.
 */
public enum AttemptAdmission {
    /** The attempt is accepted and the caller must run it. */
    RUN(RunState.UNKNOWN),
    /** The attempt was accepted earlier; this is a repeated dispatch, which must not run it again. */
    REPEATED(RunState.UNKNOWN),
    /** The attempt is fenced: it has not run and never will. */
    SEALED(RunState.NOT_RUN),
    /** The dispatch is addressed to another incarnation of the sidecar. */
    OTHER_INCARNATION(RunState.NOT_RUN),
    /** The attempt is older than the key lifetime, so it may have run and been evicted from the table. */
    EXPIRED(RunState.UNKNOWN),
    /** The attempt's creation time is too far in the future. */
    TOO_FAR_AHEAD(RunState.NOT_RUN),
    /** The table is full. A later dispatch of the same attempt may be accepted. */
    FULL(RunState.NOT_RUN);

    private final RunState runState;

    AttemptAdmission(RunState runState) {
        this.runState = runState;
    }

    /**
     * Returns whether the attempt has run, as far as this decision proves it.
     *
     * @return {@link RunState#NOT_RUN} if the attempt provably has not run, else {@link RunState#UNKNOWN}
     */
    public RunState runState() {
        return runState;
    }
}
