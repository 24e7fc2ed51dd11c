package org.masticpaddle.document;

import java.util.Objects;

/**
 * Outcome of an edit. Immutable and thread-safe.
 *
 * @param editId id of the edit
 * @param offset offset of the first record with this id
 * @param team team of the edit
 * @param verdict decision on the edit
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
        /** The edit took effect; a later edit may have replaced it. */
        ACCEPTED,
        /** Another edit changed the part after the base revision. */
        STALE_BASE,
        /** The document with the edit has problems. */
        CHECK_FAILED,
        /** The rule set of the edit is unknown to this program. */
        UNKNOWN_RULES
    }
}
