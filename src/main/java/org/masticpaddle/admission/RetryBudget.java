package org.masticpaddle.admission;

/**
 * Budget of retries of one process: a share of its first tries, with a bound on what is saved up.
 *
 * <p>Not thread-safe: one duty owns it.
 */
public final class RetryBudget {
    private static final double SHARE = 0.1;
    private static final double FLOOR_PER_SECOND = 0.1;

    /** Bounds the retries that follow at once when an upstream fails after a long calm time. */
    private static final double CAPACITY = 10;

    private final ShareBudget budget;

    private RetryBudget(ShareBudget budget) {
        this.budget = budget;
    }

    /**
     * Creates a budget of one retry.
     *
     * @return the budget
     */
    public static RetryBudget create() {
        return new RetryBudget(new ShareBudget(SHARE, FLOOR_PER_SECOND, CAPACITY, 1));
    }

    /**
     * Creates a full budget that is earned by requests only.
     *
     * @param share retries earned by each first try
     * @param capacity retries that may follow at once after a calm time
     * @return the budget
     */
    public static RetryBudget of(double share, double capacity) {
        return new RetryBudget(new ShareBudget(share, 0, capacity, capacity));
    }

    /**
     * Counts the first try of a request.
     *
     * @param now time in nanoseconds
     */
    public void firstTry(long now) {
        budget.earn(now);
    }

    /**
     * Takes one retry from the budget.
     *
     * @param now time in nanoseconds
     * @return {@code false} if the budget is used up, so that the request fails instead
     */
    public boolean tryRetry(long now) {
        return budget.take(now);
    }

    /**
     * Takes one retry if another part of the budget is left after it, for work that is worth less than other retries.
     *
     * @param now time in nanoseconds
     * @param reserve retries that are to be left
     * @return {@code false} if too little is left
     */
    public boolean tryRetryAbove(long now, double reserve) {
        return budget.left(now) >= reserve + 1 && budget.take(now);
    }

    /**
     * Gives back a retry that did not reach an upstream.
     *
     * @param now time in nanoseconds
     */
    public void giveBack(long now) {
        budget.giveBack(now);
    }
}
