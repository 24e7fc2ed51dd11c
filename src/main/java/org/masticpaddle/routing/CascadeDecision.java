package org.masticpaddle.routing;

import java.util.OptionalDouble;

/** Decision on the draft of a cascade after the judge has rated it or failed to. */
public enum CascadeDecision {
    /** Deliver the draft. */
    DELIVER,
    /**
     * Deliver the draft although its rating is below the threshold or unknown: the better version would miss the
     * deadline or is not expected to exceed the rating.
     */
    DELIVER_BELOW_THRESHOLD,
    /** Run the better version and discard the draft. */
    ESCALATE;

    /**
     * Decides whether to deliver or to escalate.
     *
     * @param plan cascade that produced the draft
     * @param rating the judge's rating between 0 and 1, or empty if the judge failed
     * @param timeLeftMillis time until the deadline in milliseconds
     * @return {@link #DELIVER} if the rating reaches the plan's threshold, otherwise one of the others
     */
    public static CascadeDecision of(VersionPlan.Cascade plan, OptionalDouble rating, long timeLeftMillis) {
        if (rating.isPresent() && rating.getAsDouble() >= plan.threshold()) {
            return DELIVER;
        }
        if (timeLeftMillis < plan.betterMillis()) {
            return DELIVER_BELOW_THRESHOLD;
        }
        return rating.isPresent() && rating.getAsDouble() >= plan.betterQuality() ? DELIVER_BELOW_THRESHOLD : ESCALATE;
    }
}
