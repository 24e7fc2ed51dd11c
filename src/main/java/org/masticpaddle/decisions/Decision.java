package org.masticpaddle.decisions;

/** Events of the decision log. The label stands in the field {@code event} of a line. */
public enum Decision {
    /** The process has started. */
    STARTED("process.started", Priority.IMPORTANT),
    /** The process leaves: it is not ready and finishes its requests. */
    DRAINING("process.draining", Priority.IMPORTANT),
    /** The process has finished its requests and ends. */
    STOPPED("process.stopped", Priority.IMPORTANT),
    /** The settings file was read again. */
    RELOADED("process.reloaded", Priority.IMPORTANT),
    /** A dependency answers no longer. */
    DEPENDENCY_LOST("dependency.lost", Priority.IMPORTANT),
    /** A dependency answers, for the first time or again. */
    DEPENDENCY_RECOVERED("dependency.regained", Priority.IMPORTANT),
    /** Records of the shared log were deleted before they were read. */
    HISTORY_LOST("log.history_lost", Priority.IMPORTANT),
    /** A record of the shared log cannot be used. */
    RECORD_IGNORED("log.record_ignored", Priority.IMPORTANT),
    /** A configuration is in force. */
    CONFIGURATION_APPLIED("configuration.in_force", Priority.IMPORTANT),
    /** The view of an upstream changed. */
    UPSTREAM_CHANGED("upstream.changed", Priority.IMPORTANT),
    /** An upstream with work gave no sign of life. */
    UPSTREAM_UNRESPONSIVE("upstream.silent", Priority.IMPORTANT),
    /** A roll-out began, went on or ended. */
    ROLLOUT_CHANGED("rollout.changed", Priority.IMPORTANT),
    /** A request waits for a place at an upstream. */
    REQUEST_QUEUED("request.queued", Priority.ROUTINE),
    /** A request was sent to an upstream. */
    REQUEST_SENT("request.sent", Priority.ROUTINE),
    /** An attempt ended without a usable answer and another may follow. */
    ATTEMPT_FAILED("request.attempt_failed", Priority.IMPORTANT),
    /** A draft was dropped for the answer of a larger model. */
    REQUEST_ESCALATED("request.escalated", Priority.ROUTINE),
    /** An answer was relayed whole. */
    REQUEST_ANSWERED("request.answered", Priority.ROUTINE),
    /** A request was refused without having run. */
    REQUEST_REJECTED("request.refused", Priority.IMPORTANT),
    /** A request ended with a failure after it may have run. */
    REQUEST_FAILED("request.failed", Priority.IMPORTANT),
    /** The caller left before the end of the answer. */
    REQUEST_CANCELLED("request.cancelled", Priority.IMPORTANT);

    private final String label;
    private final Priority weight;

    Decision(String label, Priority weight) {
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

    Priority weight() {
        return weight;
    }

    /** Which lines are kept when there are too many. */
    enum Priority {
        /** Kept while the ring has any place. */
        IMPORTANT,
        /** Dropped once the ring is half full. */
        ROUTINE
    }
}
