package org.masticpaddle.claim;

import org.masticpaddle.wire.RunState;

/**
 * Answer of an {@link AttemptTable} to a dispatch. The run state holds for an entry that sends each dispatch once; after
 * a repeated dispatch only a settlement proves that the attempt did not run.
 */
public enum AttemptAdmission {
    /** The attempt is accepted now and must be run. */
    RUN(RunState.UNKNOWN),
    /** The attempt was accepted before; a repeated dispatch must not run it. */
    REPEATED(RunState.UNKNOWN),
    /** The attempt was sealed and never runs. */
    SEALED(RunState.NOT_RUN),
    /** The dispatch is addressed to another incarnation. */
    OTHER_INCARNATION(RunState.NOT_RUN),
    /** The attempt is older than the key lifetime, so it may have run and been forgotten. */
    EXPIRED(RunState.UNKNOWN),
    /** The attempt is created too far in the future. */
    TOO_FAR_AHEAD(RunState.NOT_RUN),
    /** There is no room to remember the attempt. A later dispatch of the same attempt may find room. */
    FULL(RunState.NOT_RUN);

    private final RunState runState;

    AttemptAdmission(RunState run) {
        this.runState = run;
    }

    /**
     * Tells whether the attempt ran, as far as this answer proves it.
     *
     * @return the run state
     */
    public RunState runState() {
        return runState;
    }
}
