package org.masticpaddle.admission;

/**
 * Token bucket that gains a fraction of a token for each counted event, and tokens at a constant rate. Not thread-safe.
 */
final class ShareBudget {
    private final double tokensPerEvent;
    private final double tokensPerSecond;
    private final double capacity;
    private double tokens;
    private long updatedNanos;
    private boolean started;

    ShareBudget(double tokensPerEvent, double tokensPerSecond, double capacity, double initialTokens) {
        this.tokensPerEvent = tokensPerEvent;
        this.tokensPerSecond = tokensPerSecond;
        this.capacity = capacity;
        this.tokens = initialTokens;
    }

    void earn(long now) {
        refill(now);
        tokens = Math.min(capacity, tokens + tokensPerEvent);
    }

    boolean tryTake(long now) {
        refill(now);
        // Ten additions of 0.1 may yield slightly less than 1.
        if (tokens < 1 - 1e-9) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    private void refill(long now) {
        if (started && now > updatedNanos) {
            tokens = Math.min(capacity, tokens + (now - updatedNanos) * tokensPerSecond / 1e9);
        }
        updatedNanos = started ? Math.max(updatedNanos, now) : now;
        started = true;
    }
}
