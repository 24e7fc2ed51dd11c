package org.masticpaddle.document;

import java.util.Objects;

/**
 * What the fold decided on an edit. Immutable and thread-safe.
 *
 * @param editId id of the edit
 * @param offset offset of the first record with this id
 * @param team team of the edit
 * @param verdict the decision
 */
public record EditOutcome(String editId, long offset, String team, Verdict verdict) {
    /** Checks the arguments. */
    public EditOutcome {
        Objects.requireNonNull(editId, "editId is null");
        Objects.requireNonNull(team, "team is null");
        Objects.requireNonNull(verdict, "verdict is null");
    }

    /** Decision on an edit. */
    public enum Verdict {
        /** The edit is in effect, or was until a later one replaced it. */
        ACCEPTED,
        /** Another edit of the part came first. */
        STALE_BASE,
        /** The document with the edit has mistakes. */
        CHECK_FAILED,
        /** This program does not know the rule set of the edit. */
        UNKNOWN_RULES
    }
}
