package org.masticpaddle.admission;

/** Average of the tokens per second that a pool completes while requests wait for it. Not thread-safe. */
final class ServiceRate {
    /**
     * Time constant of the average: long enough to smooth single completions, short enough to follow the loss of an
     * upstream within the time allowed for it.
     */
    private static final double TIME_CONSTANT_NANOS = 3e9;

    /** Number of completions from which the rate is known; fewer are too unreliable to reject requests. */
    private static final int MIN_COMPLETIONS = 8;

    private double decayedTokens;
    private double decayedNanos;
    private long updatedNanos;
    private boolean started;
    private boolean backlogged;
    private int completions;

    /**
     * Accounts for the time since the last call.
     *
     * @param nowBacklogged whether requests wait for the pool from now until the next call
     */
    void update(long now, boolean nowBacklogged) {
        if (started && backlogged && now > updatedNanos) {
            final double elapsed = now - updatedNanos;
            final double decay = Math.exp(-elapsed / TIME_CONSTANT_NANOS);
            decayedTokens *= decay;
            decayedNanos = decayedNanos * decay + elapsed;
        }
        started = true;
        updatedNanos = Math.max(updatedNanos, now);
        backlogged = nowBacklogged;
    }

    void recordCompletion(long tokens) {
        if (backlogged) {
            decayedTokens += tokens;
            completions = Math.min(MIN_COMPLETIONS, completions + 1);
        }
    }

    boolean isKnown() {
        return completions >= MIN_COMPLETIONS && decayedNanos > 0;
    }

    double tokensPerSecond() {
        return Math.max(1e-3, decayedTokens * 1e9 / decayedNanos);
    }
}
