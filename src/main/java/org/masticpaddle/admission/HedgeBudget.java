package org.masticpaddle.admission;

import java.util.Objects;

import org.masticpaddle.wire.Rank;

/**
 * Budget of one entry for hedged requests, limited to 2% of its idempotent urgent requests. Other requests are not
 * hedged.
 *
 * <p>Not thread-safe: one duty owns it.
 */
public final class HedgeBudget {
    /** Hedges that each eligible request adds to the budget. */
    private static final double HEDGES_PER_REQUEST = 0.02;
    /** Limit of the unused hedges, and so of a burst of hedges. */
    private static final double MAX_SAVED_HEDGES = 5;

    private final ShareBudget budget = new ShareBudget(HEDGES_PER_REQUEST, 0, MAX_SAVED_HEDGES, 0);

    private HedgeBudget() {}

    /**
     * Creates an empty budget.
     *
     * @return budget that allows no hedge until eligible first attempts have added a whole one
     */
    public static HedgeBudget create() {
        return new HedgeBudget();
    }

    /**
     * Counts the first attempt of a request, which adds to the budget if the request may be hedged.
     *
     * @param rank rank of the request
     * @param idempotent whether the request may run more than once
     * @param now time in nanoseconds
     */
    public void recordFirstAttempt(Rank rank, boolean idempotent, long now) {
        if (isEligible(rank, idempotent)) {
            budget.earn(now);
        }
    }

    /**
     * Takes one hedge from the budget.
     *
     * @param rank rank of the request
     * @param idempotent whether the request may run more than once
     * @param now time in nanoseconds
     * @return {@code false} if the request may not be hedged or the budget is used up
     */
    public boolean tryHedge(Rank rank, boolean idempotent, long now) {
        return isEligible(rank, idempotent) && budget.tryTake(now);
    }

    private static boolean isEligible(Rank rank, boolean idempotent) {
        return Objects.requireNonNull(rank, "rank is null") == Rank.URGENT && idempotent;
    }
}
