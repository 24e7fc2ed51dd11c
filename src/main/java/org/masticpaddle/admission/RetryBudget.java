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
     * Counts the first try of a request.
     *
     * @param now time in nanoseconds
     */
    public void recordFirstAttempt(long now) {
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
}
