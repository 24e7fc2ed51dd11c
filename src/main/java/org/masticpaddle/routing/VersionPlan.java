package org.masticpaddle.routing;

import org.masticpaddle.document.ModelVersion;

/** Result of the choice of a version. Immutable and thread-safe. */
public sealed interface VersionPlan {
    /**
     * Run the request on one version.
     *
     * @param version the version
     * @param basis why it was chosen
     * @param meetsRequiredQuality whether the lower bound of its quality meets the need
     */
    record Single(ModelVersion version, Basis basis, boolean meetsRequiredQuality) implements VersionPlan {}

    /**
     * Draft on a cheap version, judge the draft, and escalate if {@link CascadeDecision} says so.
     *
     * @param draft version that drafts
     * @param better version to escalate to
     * @param threshold rating from which the draft is delivered
     * @param betterQuality expected quality of the better version
     * @param betterMillis expected time of the better version
     * @param meetsRequiredQuality whether the lower bound of the better version meets the need
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
     * Do not run the request.
     *
     * @param reason why
     */
    record Refused(Reason reason) implements VersionPlan {}

    /** Why a version was chosen. */
    enum Basis {
        /** Cheapest that meets the need, or the best allowed. */
        CHOSEN,
        /** The session is bound to it. */
        SESSION,
        /** The session's version takes no work any more and the document lets the session move. */
        SESSION_MOVED,
        /** Learning about a version that would not be chosen. */
        EXPLORATION,
        /** The roll-out's stage includes the session or request. */
        ROLLOUT
    }

    /** Why a request was refused. */
    enum Reason {
        /** No version that the request asks for is allowed to the organisation. */
        NOTHING_ALLOWED,
        /** All allowed versions are withdrawn. */
        NOTHING_ACTIVE,
        /** The health test stopped all allowed active versions. */
        NOTHING_HEALTHY,
        /** No allowed version is expected to answer before the deadline. */
        NOTHING_IN_TIME,
        /** The version of the session takes no work any more and the document forbids a move. */
        SESSION_ENDED,
        /** The request asks for another version than its session is bound to. */
        SESSION_HAS_OTHER_VERSION
    }
}
