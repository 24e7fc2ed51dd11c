package org.masticpaddle.admission;

/**
 * Retry budget of one process: a fraction of its first attempts plus a small constant rate. The number of saved
 * retries is limited.
 *
 * <p>Not thread-safe: one duty owns it.
 */
public final class RetryBudget {
    /** Retries that each first attempt adds to the budget. */
    private static final double RETRIES_PER_FIRST_ATTEMPT = 0.1;
    /** Retries that each second adds to the budget, so that a process with little load can retry. */
    private static final double MIN_RETRIES_PER_SECOND = 0.1;

    /** Limits the retries that follow at once when an upstream fails after a long time without failures. */
    private static final double MAX_SAVED_RETRIES = 10;

    private final ShareBudget budget;

    private RetryBudget(ShareBudget budget) {
        this.budget = budget;
    }

    /**
     * Creates a budget that allows one retry.
     *
     * @return budget to be shared by all requests of the process
     */
    public static RetryBudget create() {
        return new RetryBudget(
                new ShareBudget(RETRIES_PER_FIRST_ATTEMPT, MIN_RETRIES_PER_SECOND, MAX_SAVED_RETRIES, 1));
    }

    /**
     * Counts the first attempt of a request.
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
        return budget.tryTake(now);
    }
}
