package org.masticpaddle.routing;

/**
 * Parameters that decide whether a cascade is worth its delay. Immutable and thread-safe.
 *
 * @param judgeMillis expected time of one rating in milliseconds
 * @param judgeCostMicros cost of one rating in millionths of the currency unit
 * @param maxCostRatio highest ratio of the expected cost of a cascade to that of the better version alone
 */
public record CascadePolicy(double judgeMillis, double judgeCostMicros, double maxCostRatio) {
    /** Default policy. Savings of less than a tenth do not outweigh the delay of a cascade. */
    public static final CascadePolicy DEFAULT = new CascadePolicy(150, 0, 0.9);
}
