package org.masticpaddle.admission;

import java.time.Duration;
import java.util.Objects;

/**
 * Budget of retries as a share of the first tries within a sliding window.
 *
 * <p>Answers the load pattern of an upstream that fails under many requests at once: what the window has earned may be
 * spent in one moment. Invariant: the retries within a window that ends with a retry do not exceed the share of the first
 * tries within it, plus the allowance. If every process of a deployment keeps it, so do all of them together, but for the
 * sum of the allowances. Not thread-safe: the owner's thread uses it.
 */
public final class WindowedRetryBudget {
    /** Parts into which the window is divided. */
    private static final int SLICES_IN_WINDOW = 40;
    /** Parts that are kept: a window that does not begin with a part touches one more. */
    private static final int SLICES = SLICES_IN_WINDOW + 1;

    private final double share;
    private final double allowance;
    private final long sliceNanos;
    private final int[] firstTries = new int[SLICES];
    private final int[] retries = new int[SLICES];
    private long slice = Long.MIN_VALUE;

    /**
     * Creates a budget without history.
     *
     * @param share retries allowed for each first try
     * @param allowance retries allowed in a window beyond the share
     * @param window length of the window
     */
    public WindowedRetryBudget(double share, double allowance, Duration window) {
        this.share = share;
        this.allowance = allowance;
        this.sliceNanos =
                Math.max(1, Objects.requireNonNull(window, "window is null").toNanos() / SLICES_IN_WINDOW);
    }

    /**
     * Counts the first try of a request.
     *
     * @param now time in nanoseconds
     */
    public void recordFirstAttempt(long now) {
        firstTries[index(now)]++;
    }

    /**
     * Takes one retry.
     *
     * @param now time in nanoseconds
     * @return {@code false} if the budget is used up, so that the request fails instead
     */
    public boolean tryRetry(long now) {
        return tryRetryWithReserve(now, 0);
    }

    /**
     * Takes one retry if a part of the window's budget is left after it, for work that is worth less than other retries.
     *
     * @param now time in nanoseconds
     * @param reserve part of the budget, between 0 and 1, that is to be left
     * @return {@code false} if too little is left
     */
    public boolean tryRetryWithReserve(long now, double reserve) {
        final int current = index(now);
        final int oldest = firstTries[(current + 1) % SLICES];
        final double budget = allowance + share * (sum(firstTries) - oldest);
        if (sum(retries) + 1 > budget * (1 - reserve)) {
            return false;
        }
        retries[current]++;
        return true;
    }

    /**
     * Gives back a retry that did not reach an upstream.
     *
     * @param now time in nanoseconds
     */
    public void refundRetry(long now) {
        final int current = index(now);
        retries[current] = Math.max(0, retries[current] - 1);
    }

    private int index(long now) {
        final long newest = Math.max(slice, Math.floorDiv(now, sliceNanos));
        final long passed = slice == Long.MIN_VALUE ? SLICES : Math.min(SLICES, newest - slice);
        slice = newest;
        for (long gone = 0; gone < passed; gone++) {
            final int index = Math.floorMod(newest - gone, SLICES);
            firstTries[index] = 0;
            retries[index] = 0;
        }
        return Math.floorMod(newest, SLICES);
    }

    private static int sum(int[] counts) {
        int sum = 0;
        for (final int count : counts) {
            sum += count;
        }
        return sum;
    }
}
