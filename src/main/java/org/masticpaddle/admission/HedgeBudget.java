package org.masticpaddle.admission;

import java.util.Objects;

import org.masticpaddle.wire.Rank;

/**
 * Budget of hedged requests of one entry: 2% of the idempotent urgent requests, and no others.
 *
 * <p>Not thread-safe: one duty owns it.
 */
public final class HedgeBudget {
    private static final double SHARE = 0.02;
    private static final double CAPACITY = 5;

    private final ShareBudget budget = new ShareBudget(SHARE, 0, CAPACITY, 0);

    private HedgeBudget() {}

    /**
     * Creates an empty budget.
     *
     * @return the budget
     */
    public static HedgeBudget create() {
        return new HedgeBudget();
    }

    /**
     * Counts the first try of a request.
     *
     * @param rank its rank
     * @param idempotent whether it may run more than once
     * @param now time in nanoseconds
     */
    public void firstTry(Rank rank, boolean idempotent, long now) {
        if (eligible(rank, idempotent)) {
            budget.earn(now);
        }
    }

    /**
     * Takes one hedge from the budget.
     *
     * @param rank rank of the request
     * @param idempotent whether it may run more than once
     * @param now time in nanoseconds
     * @return {@code false} if the request may not be hedged
     */
    public boolean tryHedge(Rank rank, boolean idempotent, long now) {
        return eligible(rank, idempotent) && budget.take(now);
    }

    private static boolean eligible(Rank rank, boolean idempotent) {
        return Objects.requireNonNull(rank, "rank is null") == Rank.URGENT && idempotent;
    }
}
