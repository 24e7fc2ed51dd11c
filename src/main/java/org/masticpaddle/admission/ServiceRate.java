package org.masticpaddle.admission;

/** Tokens a second that a pool completes while requests wait for it. Not thread-safe. */
final class ServiceRate {
    /** Long enough to smooth the end of single requests, short enough to follow a lost upstream within its deadline. */
    private static final double CONSTANT_NANOS = 3e9;

    /** Fewer completions say too little to refuse anyone. */
    private static final int LEAST_COMPLETIONS = 8;

    private double tokens;
    private double nanos;
    private long updated;
    private boolean started;
    private boolean backlogged;
    private int completions;

    /** Accounts for the time since the last call, in which the pool had waiting work or not as told then. */
    void observe(long now, boolean nowBacklogged) {
        if (started && backlogged && now > updated) {
            final double elapsed = now - updated;
            final double kept = Math.exp(-elapsed / CONSTANT_NANOS);
            tokens *= kept;
            nanos = nanos * kept + elapsed;
        }
        started = true;
        updated = Math.max(updated, now);
        backlogged = nowBacklogged;
    }

    void completed(long count) {
        if (backlogged) {
            tokens += count;
            completions = Math.min(LEAST_COMPLETIONS, completions + 1);
        }
    }

    boolean known() {
        return completions >= LEAST_COMPLETIONS && nanos > 0;
    }

    double perSecond() {
        return Math.max(1e-3, tokens * 1e9 / nanos);
    }
}
