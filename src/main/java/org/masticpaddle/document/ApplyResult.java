package org.masticpaddle.document;

import java.util.List;
import java.util.Objects;

/** Result of applying a log record to a {@link ConfigurationState}. Immutable and thread-safe. */
public sealed interface ApplyResult {
    /**
     * The edit is in effect.
     *
     * @param edit the accepted edit
     * @param revision new revision of the part
     */
    record Accepted(Edit edit, long revision) implements ApplyResult {}

    /**
     * The edit has no effect.
     *
     * @param edit the rejected edit
     * @param verdict reason of the rejection
     * @param currentRevision revision of the part, 0 if the team has none
     * @param problems problems found, empty unless the check failed
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
     * @param reason why the record changes no part
     */
    record Ignored(Reason reason) implements ApplyResult {}

    /** Why a record changes no part. */
    enum Reason {
        /** An earlier record has the same edit id. */
        DUPLICATE_EDIT,
        /** The record is a snapshot of a prefix that was already applied. */
        SNAPSHOT,
        /** The record cannot be decoded. */
        UNDECODABLE,
        /** The record is below the offset of the state. */
        ALREADY_APPLIED,
        /** Records before this one are missing. The state keeps its offset. */
        GAP
    }
}
