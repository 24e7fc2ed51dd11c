package org.masticpaddle.admission;

/**
 * Budget of retries of one entry: 10% of first tries, and one retry in ten seconds when there are few.
 *
 * <p>Not thread-safe: one duty owns it.
 */
public final class RetryBudget {
    private static final double SHARE = 0.1;
    private static final double FLOOR_PER_SECOND = 0.1;

    /** Bounds the retries that follow at once when an upstream fails after a long calm time. */
    private static final double CAPACITY = 10;

    private final ShareBudget budget = new ShareBudget(SHARE, FLOOR_PER_SECOND, CAPACITY, 1);

    private RetryBudget() {}

    /**
     * Creates a budget of one retry.
     *
     * @return the budget
     */
    public static RetryBudget create() {
        return new RetryBudget();
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
}
