package org.masticpaddle.document;

import java.util.List;
import java.util.Objects;

/** What the fold did with a record. Immutable and thread-safe. */
public sealed interface ApplyResult {
    /**
     * The edit is in effect.
     *
     * @param edit the edit
     * @param revision new revision of the part
     */
    record Accepted(Edit edit, long revision) implements ApplyResult {}

    /**
     * The edit has no effect.
     *
     * @param edit the edit
     * @param verdict the reason
     * @param currentRevision revision of the part
     * @param problems mistakes, if the check failed
     */
    record Rejected(Edit edit, EditOutcome.Verdict verdict, long currentRevision, List<Problem> problems)
            implements ApplyResult {
        /** Checks the arguments and copies the list. */
        public Rejected {
            Objects.requireNonNull(verdict, "verdict is null");
            problems = List.copyOf(problems);
        }
    }

    /**
     * The record changes no part.
     *
     * @param reason the reason
     */
    record Ignored(Reason reason) implements ApplyResult {}

    /** Why a record changes no part. */
    enum Reason {
        /** An earlier record has the same edit id. */
        DUPLICATE_EDIT,
        /** The record is a snapshot of what the fold has already. */
        SNAPSHOT,
        /** The record is not understood. */
        UNDECODABLE,
        /** The fold is past the record. */
        ALREADY_APPLIED,
        /** Records before this one are missing. The fold stays where it is. */
        GAP
    }
}
