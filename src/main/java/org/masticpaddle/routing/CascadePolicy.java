package org.masticpaddle.routing;

/**
 * When a cascade is worth while. Immutable and thread-safe.
 *
 * @param judgeMillis expected time of the judge
 * @param judgeCostMicros cost of one rating, in millionths of the currency unit
 * @param maxCostRatio largest expected cost of a cascade relative to the better version alone
 */
public record CascadePolicy(double judgeMillis, double judgeCostMicros, double maxCostRatio) {
    /** Policy in use; a cascade that saves less than a tenth does not pay for its delay. */
    public static final CascadePolicy DEFAULT = new CascadePolicy(150, 0, 0.9);
}
