package org.masticpaddle.decisions;

/** Events of the decision log. The label is written to the field {@code event} of a line. */
public enum Decision {
    /** The process has started. */
    STARTED("process.started", Priority.IMPORTANT),
    /** The process is draining: it is no longer ready and completes its in-flight requests. */
    DRAINING("process.draining", Priority.IMPORTANT),
    /** The process has completed its in-flight requests and stops. */
    STOPPED("process.stopped", Priority.IMPORTANT),
    /** The settings file was reloaded. */
    RELOADED("process.reloaded", Priority.IMPORTANT),
    /** A dependency no longer responds. */
    DEPENDENCY_LOST("dependency.lost", Priority.IMPORTANT),
    /** A dependency responds, for the first time or again. */
    DEPENDENCY_RECOVERED("dependency.regained", Priority.IMPORTANT),
    /** Records of the shared log were deleted before they were read. */
    HISTORY_LOST("log.history_lost", Priority.IMPORTANT),
    /** The shared log was restored from a copy, so that offsets of a stream are given out again. */
    LOG_RESTORED("log.restored", Priority.IMPORTANT),
    /** A record of the shared log is invalid and was ignored. */
    RECORD_IGNORED("log.record_ignored", Priority.IMPORTANT),
    /** A component failed unexpectedly and goes on; the defect has to be found and mended. */
    UNEXPECTED_ERROR("process.unexpected_error", Priority.IMPORTANT),
    /** A configuration took effect. */
    CONFIGURATION_APPLIED("configuration.in_force", Priority.IMPORTANT),
    /** The gateway's view of an upstream changed. */
    UPSTREAM_CHANGED("upstream.changed", Priority.IMPORTANT),
    /** The operator has evacuated a failure domain or taken the order back. */
    EVACUATION_CHANGED("evacuation.changed", Priority.IMPORTANT),
    /** An upstream with in-flight requests is unresponsive. */
    UPSTREAM_UNRESPONSIVE("upstream.silent", Priority.IMPORTANT),
    /** An upstream stated another limit of its requests than before, or none any more. */
    UPSTREAM_LIMIT_CHANGED("upstream.limit", Priority.IMPORTANT),
    /** An upstream says that it is about to stop, or that it wants no requests for some time. */
    UPSTREAM_REPORTED("upstream.reported", Priority.IMPORTANT),
    /** An upstream was found to be cold, or is no longer. */
    UPSTREAM_COLD("upstream.cold", Priority.IMPORTANT),
    /** A rollout started, progressed or ended. */
    ROLLOUT_CHANGED("rollout.changed", Priority.IMPORTANT),
    /** An answer was counted as evidence for or against the version of a rollout. */
    ANSWER_OBSERVED("rollout.observed", Priority.ROUTINE),
    /** An upstream was lost while it began to answer, or the segments suspected of such crashes changed. */
    QUARANTINE_CHANGED("quarantine.changed", Priority.IMPORTANT),
    /** A request was queued until an upstream has capacity. */
    REQUEST_QUEUED("request.queued", Priority.ROUTINE),
    /** A request was sent to an upstream. */
    REQUEST_SENT("request.sent", Priority.ROUTINE),
    /** An attempt ended without a usable answer; a retry may follow. */
    ATTEMPT_FAILED("request.attempt_failed", Priority.IMPORTANT),
    /** A draft was discarded in favour of the answer of a larger model. */
    REQUEST_ESCALATED("request.escalated", Priority.ROUTINE),
    /** A draft that its model doubts is delivered, for lack of room or time for a larger model. */
    DRAFT_KEPT("request.draft_kept", Priority.ROUTINE),
    /** A draft that was held is delivered, as the larger model gives no answer in time. */
    DRAFT_RECOVERED("request.draft_recovered", Priority.ROUTINE),
    /** An answer was relayed completely. */
    REQUEST_ANSWERED("request.answered", Priority.ROUTINE),
    /** A request was rejected without having run. */
    REQUEST_REJECTED("request.refused", Priority.IMPORTANT),
    /** A request failed and may have run. */
    REQUEST_FAILED("request.failed", Priority.IMPORTANT),
    /** The connection of a caller was closed since the caller did not take its answer. */
    ANSWER_GIVEN_UP("answer.given_up", Priority.IMPORTANT),
    /** The caller disconnected before the end of the answer. */
    REQUEST_CANCELLED("request.cancelled", Priority.IMPORTANT);

    private final String label;
    private final Priority priority;

    Decision(String label, Priority priority) {
        this.label = label;
        this.priority = priority;
    }

    /**
     * Returns the name of the event in the log.
     *
     * @return value of the field {@code event}
     */
    public String label() {
        return label;
    }

    Priority priority() {
        return priority;
    }

    /** Priority of a line when the queue of the log fills up. */
    enum Priority {
        /** Dropped only if the queue is full. */
        IMPORTANT,
        /** Dropped if the queue is at least half full. */
        ROUTINE
    }
}
