package org.masticpaddle.admission;

import java.time.Duration;
import java.util.Objects;
import java.util.function.DoubleSupplier;

/**
 * Retry budget proportional to the first attempts within a sliding window.
 *
 * <p>Meant for an upstream that fails with many requests in flight: the whole budget of a window may be used at once.
 * Invariant: the number of retries in a window that ends with a retry is at most the number of first attempts in it
 * times the retries per first attempt, plus the allowance. If each process of a deployment keeps this limit, the whole
 * deployment does, with the sum of the allowances. Not thread-safe: only the thread of its owner uses it.
 */
public final class WindowedRetryBudget {
    /** Number of slices into which the window is divided. */
    private static final int SLICES_PER_WINDOW = 40;
    /** Number of slices kept: a window that does not start at the boundary of a slice overlaps one more. */
    private static final int SLICE_COUNT = SLICES_PER_WINDOW + 1;

    private final double retriesPerFirstAttempt;
    private final DoubleSupplier allowance;
    private final long sliceNanos;
    private final int[] firstAttempts = new int[SLICE_COUNT];
    private final int[] retries = new int[SLICE_COUNT];
    private long newestSlice = Long.MIN_VALUE;

    /**
     * Creates a budget without recorded attempts.
     *
     * @param retriesPerFirstAttempt retries allowed for each first attempt
     * @param allowance supplies the present number of retries allowed in a window in addition to those of its first attempts
     * @param window length of the window
     */
    public WindowedRetryBudget(double retriesPerFirstAttempt, DoubleSupplier allowance, Duration window) {
        this.retriesPerFirstAttempt = retriesPerFirstAttempt;
        this.allowance = Objects.requireNonNull(allowance, "allowance is null");
        this.sliceNanos =
                Math.max(1, Objects.requireNonNull(window, "window is null").toNanos() / SLICES_PER_WINDOW);
    }

    /**
     * Counts the first attempt of a request.
     *
     * @param now time in nanoseconds
     */
    public void recordFirstAttempt(long now) {
        firstAttempts[advanceTo(now)]++;
    }

    /**
     * Takes one retry from the budget.
     *
     * @param now time in nanoseconds
     * @return {@code false} if the budget is used up, so that the request fails instead
     */
    public boolean tryRetry(long now) {
        return tryRetryWithReserve(now, 0);
    }

    /**
     * Takes one retry if a fraction of the window's budget is left afterwards. Meant for retries that are less
     * important than others.
     *
     * @param now time in nanoseconds
     * @param reserve fraction of the budget that must be left, between 0 and 1
     * @return {@code false} if less would be left
     */
    public boolean tryRetryWithReserve(long now, double reserve) {
        final int currentIndex = advanceTo(now);
        final int oldestFirstAttempts = firstAttempts[(currentIndex + 1) % SLICE_COUNT];
        final double windowBudget =
                allowance.getAsDouble() + retriesPerFirstAttempt * (sum(firstAttempts) - oldestFirstAttempts);
        if (sum(retries) + 1 > windowBudget * (1 - reserve)) {
            return false;
        }
        retries[currentIndex]++;
        return true;
    }

    /**
     * Refunds a retry that did not reach an upstream.
     *
     * @param now time in nanoseconds
     */
    public void refundRetry(long now) {
        final int currentIndex = advanceTo(now);
        retries[currentIndex] = Math.max(0, retries[currentIndex] - 1);
    }

    private int advanceTo(long now) {
        final long currentSlice = Math.max(newestSlice, Math.floorDiv(now, sliceNanos));
        final long elapsedSlices =
                newestSlice == Long.MIN_VALUE ? SLICE_COUNT : Math.min(SLICE_COUNT, currentSlice - newestSlice);
        newestSlice = currentSlice;
        for (long offset = 0; offset < elapsedSlices; offset++) {
            final int index = Math.floorMod(currentSlice - offset, SLICE_COUNT);
            firstAttempts[index] = 0;
            retries[index] = 0;
        }
        return Math.floorMod(currentSlice, SLICE_COUNT);
    }

    private static int sum(int[] counts) {
        int sum = 0;
        for (final int count : counts) {
            sum += count;
        }
        return sum;
    }
}
