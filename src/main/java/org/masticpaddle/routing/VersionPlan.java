package org.masticpaddle.routing;

import org.masticpaddle.document.ModelVersion;

/** Plan for a request, as decided by the {@link VersionSelector}. Immutable and thread-safe. */
public sealed interface VersionPlan {
    /**
     * Runs the request on one version.
     *
     * @param version version to run
     * @param basis why the version was chosen
     * @param meetsRequiredQuality whether the lower confidence bound of its quality meets the required quality
     */
    record Single(ModelVersion version, Basis basis, boolean meetsRequiredQuality) implements VersionPlan {}

    /**
     * Drafts on a cheap version, has the draft judged, and escalates as decided by {@link CascadeDecision}.
     *
     * @param draft version that drafts
     * @param better version to escalate to
     * @param threshold lowest rating at which the draft is delivered, between 0 and 1
     * @param betterQuality expected quality of the better version, between 0 and 1
     * @param betterMillis expected time of the better version in milliseconds
     * @param meetsRequiredQuality whether the lower confidence bound of the better version's quality meets the required
     *     quality
     */
    record Cascade(
            ModelVersion draft,
            ModelVersion better,
            double threshold,
            double betterQuality,
            double betterMillis,
            boolean meetsRequiredQuality)
            implements VersionPlan {}

    /**
     * Rejects the request.
     *
     * @param reason reason of the rejection
     */
    record Refused(Reason reason) implements VersionPlan {}

    /** Reason for which a version was chosen. */
    enum Basis {
        /** The version is the cheapest that meets the required quality, or the best one if none does. */
        CHOSEN,
        /** The session is bound to the version. */
        SESSION,
        /** The session's version accepts no more requests and the routing document lets the session move. */
        SESSION_MOVED,
        /** The version is explored to obtain ratings, although another one would be chosen. */
        EXPLORATION,
        /** The current stage of a rollout to the version includes the session or request. */
        ROLLOUT
    }

    /**
     * Reason for which a request is rejected. The order of the constants matters: if versions are excluded for
     * different reasons, the last one of the reasons is reported.
     */
    enum Reason {
        /** The organisation is not allowed to use any version that the model selector matches. */
        NOTHING_ALLOWED,
        /** All allowed versions are withdrawn. */
        NOTHING_ACTIVE,
        /** The health of all allowed active versions excludes the request. */
        NOTHING_HEALTHY,
        /** No allowed version is expected to answer before the deadline. */
        NOTHING_IN_TIME,
        /** The session's version accepts no more requests and the routing document forbids a move. */
        SESSION_ENDED,
        /** The model selector does not match the version to which the session is bound. */
        SESSION_HAS_OTHER_VERSION
    }
}
