package org.masticpaddle.rollout;

import java.util.Objects;

/**
 * Counts of the answers on one route during a rollout, for the old versions and the new one. Immutable.
 *
 * @param before counts of answers of upstreams of other versions
 * @param after counts of answers of upstreams of the new version
 */
public record RouteCounts(HealthCounts before, HealthCounts after) {
    /** Counts without answers. */
    public static final RouteCounts NONE = new RouteCounts(HealthCounts.NONE, HealthCounts.NONE);

    /** Checks the arguments. */
    public RouteCounts {
        Objects.requireNonNull(before, "before is null");
        Objects.requireNonNull(after, "after is null");
    }

    /**
     * Adds two counts.
     *
     * @param other counts of another gateway or route
     * @return sums for the old versions and for the new one
     */
    public RouteCounts plus(RouteCounts other) {
        return new RouteCounts(before.plus(other.before), after.plus(other.after));
    }

    /** Returns the counts with one more answer. */
    RouteCounts withAnswer(boolean newVersion, boolean successful, boolean slow) {
        final HealthCounts answer = new HealthCounts(1, successful ? 0 : 1, slow ? 1 : 0, 0, 0);
        return newVersion ? new RouteCounts(before, after.plus(answer)) : new RouteCounts(before.plus(answer), after);
    }
}
