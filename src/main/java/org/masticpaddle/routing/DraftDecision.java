package org.masticpaddle.routing;

/** What becomes of the draft of a small model, and why. Immutable and thread-safe. */
public enum DraftDecision {
    /** The draft is delivered: its model has confidence in it, reports none, or is the largest one. */
    SUFFICIENT,
    /** The draft is dropped for the answer of the largest model. */
    ESCALATED,
    /** The draft is delivered although it is doubtful, since the largest model is reserved for more urgent requests. */
    RESERVED,
    /** The draft is delivered although it is doubtful, since the answer of the largest model would come too late. */
    TOO_LATE,
    /** The draft is delivered although it is doubtful, since the retry budget is used up. */
    NO_RETRY;

    /**
     * Returns whether a doubtful draft is delivered for lack of room or time.
     *
     * @return {@code true} if the largest model should have answered and does not
     */
    public boolean constrained() {
        return this != SUFFICIENT && this != ESCALATED;
    }
}
