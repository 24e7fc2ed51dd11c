package org.masticpaddle.decisions;

/** Events of the decision log. The label stands in the field {@code event} of a line. */
public enum Decision {
    /** The process has started. */
    STARTED("process.started", Weight.IMPORTANT),
    /** The process leaves: it is not ready and finishes its requests. */
    DRAINING("process.draining", Weight.IMPORTANT),
    /** The process has finished its requests and ends. */
    STOPPED("process.stopped", Weight.IMPORTANT),
    /** The settings file was read again. */
    RELOADED("process.reloaded", Weight.IMPORTANT),
    /** A dependency answers no longer. */
    DEPENDENCY_LOST("dependency.lost", Weight.IMPORTANT),
    /** A dependency answers, for the first time or again. */
    DEPENDENCY_REGAINED("dependency.regained", Weight.IMPORTANT),
    /** Records of the shared log were deleted before they were read. */
    HISTORY_LOST("log.history_lost", Weight.IMPORTANT),
    /** A record of the shared log cannot be used. */
    RECORD_IGNORED("log.record_ignored", Weight.IMPORTANT),
    /** A configuration is in force. */
    TABLE_IN_FORCE("configuration.in_force", Weight.IMPORTANT),
    /** The view of an upstream changed. */
    UPSTREAM_CHANGED("upstream.changed", Weight.IMPORTANT),
    /** An upstream with work gave no sign of life. */
    UPSTREAM_SILENT("upstream.silent", Weight.IMPORTANT),
    /** A roll-out began, went on or ended. */
    ROLLOUT_CHANGED("rollout.changed", Weight.IMPORTANT),
    /** A request waits for a place at an upstream. */
    REQUEST_QUEUED("request.queued", Weight.ROUTINE),
    /** A request was sent to an upstream. */
    REQUEST_SENT("request.sent", Weight.ROUTINE),
    /** An attempt ended without a usable answer and another may follow. */
    ATTEMPT_FAILED("request.attempt_failed", Weight.IMPORTANT),
    /** A draft was dropped for the answer of a larger model. */
    REQUEST_ESCALATED("request.escalated", Weight.ROUTINE),
    /** An answer was relayed whole. */
    REQUEST_ANSWERED("request.answered", Weight.ROUTINE),
    /** A request was refused without having run. */
    REQUEST_REFUSED("request.refused", Weight.IMPORTANT),
    /** A request ended with a failure after it may have run. */
    REQUEST_FAILED("request.failed", Weight.IMPORTANT),
    /** The caller left before the end of the answer. */
    REQUEST_CANCELLED("request.cancelled", Weight.IMPORTANT);

    private final String label;
    private final Weight weight;

    Decision(String label, Weight weight) {
        this.label = label;
        this.weight = weight;
    }

    /**
     * Returns the name in the log.
     *
     * @return value of the field {@code event}
     */
    public String label() {
        return label;
    }

    Weight weight() {
        return weight;
    }

    /** Which lines are kept when there are too many. */
    enum Weight {
        /** Kept while the ring has any place. */
        IMPORTANT,
        /** Dropped once the ring is half full. */
        ROUTINE
    }
}
