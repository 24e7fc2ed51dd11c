package org.masticpaddle.routing;

import java.util.OptionalDouble;

/** What to do with a draft once the judge has answered or failed. */
public enum CascadeDecision {
    /** Deliver the draft. */
    DELIVER,
    /** Deliver the draft although its rating is below the threshold or unknown, as no better answer is in reach. */
    DELIVER_BELOW_THRESHOLD,
    /** Run the better version and discard the draft. */
    ESCALATE;

    /**
     * Decides after the judge's answer.
     *
     * @param plan the cascade
     * @param rating judge's rating, or empty if it did not answer
     * @param timeLeftMillis time until the deadline, in milliseconds
     * @return the decision
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
