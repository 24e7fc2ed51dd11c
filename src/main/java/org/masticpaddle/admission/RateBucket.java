package org.masticpaddle.admission;

/**
 * Token bucket with a variable rate that a request may overdraw. Not thread-safe.
 *
 * <p>Overdrawing lets an entry serve a request that is larger than the bucket; later requests wait until the debt is
 * paid.
 */
final class RateBucket {
    private final double burstSeconds;
    private double level;
    private long updatedNanos;
    private boolean started;

    RateBucket(double burstSeconds) {
        this.burstSeconds = burstSeconds;
    }

    /** Refills the bucket at {@code perSecond} and returns the time until the next request is allowed, 0 for now. */
    long waitNanos(double perSecond, long now) {
        if (Double.isInfinite(perSecond)) {
            return 0;
        }
        final double capacity = perSecond * burstSeconds;
        level = started ? Math.min(capacity, level + Math.max(0, now - updatedNanos) * perSecond / 1e9) : capacity;
        updatedNanos = started ? Math.max(updatedNanos, now) : now;
        started = true;
        if (level > 0) {
            return 0;
        }
        return perSecond > 0 ? 1 + (long) Math.min(3.6e12, -level * 1e9 / perSecond) : 3_600_000_000_000L;
    }

    void take(double amount) {
        level -= amount;
    }
}
