package org.masticpaddle.rollout;

import java.util.Objects;

/**
 * What one route saw of the two versions of a roll-out. Immutable.
 *
 * @param before answers of upstreams of other versions
 * @param after answers of upstreams of the new version
 */
public record RouteCounts(HealthCounts before, HealthCounts after) {
    /** Nothing seen. */
    public static final RouteCounts NONE = new RouteCounts(HealthCounts.NONE, HealthCounts.NONE);

    /** Checks the arguments. */
    public RouteCounts {
        Objects.requireNonNull(before, "before is null");
        Objects.requireNonNull(after, "after is null");
    }

    /**
     * Adds counts.
     *
     * @param other counts of another gateway or route
     * @return sums of both
     */
    public RouteCounts plus(RouteCounts other) {
        return new RouteCounts(before.plus(other.before), after.plus(other.after));
    }

    RouteCounts withAnswer(boolean moved, boolean sound, boolean slow) {
        final HealthCounts one = new HealthCounts(1, sound ? 0 : 1, slow ? 1 : 0, 0, 0);
        return moved ? new RouteCounts(before, after.plus(one)) : new RouteCounts(before.plus(one), after);
    }
}
