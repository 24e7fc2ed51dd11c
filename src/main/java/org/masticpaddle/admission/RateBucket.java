package org.masticpaddle.admission;

/**
 * Token bucket whose rate may change, and that lets a request overdraw it. Not thread-safe.
 *
 * <p>Overdrawing lets an entry serve a request that is larger than its bucket; it pays by waiting before the next one.
 */
final class RateBucket {
    private final double burstSeconds;
    private double level;
    private long updated;
    private boolean started;

    RateBucket(double burstSeconds) {
        this.burstSeconds = burstSeconds;
    }

    /** Refills at {@code perSecond} and returns the time until a request may pass, 0 for at once. */
    long waitNanos(double perSecond, long now) {
        if (Double.isInfinite(perSecond)) {
            return 0;
        }
        final double capacity = perSecond * burstSeconds;
        level = started ? Math.min(capacity, level + Math.max(0, now - updated) * perSecond / 1e9) : capacity;
        updated = started ? Math.max(updated, now) : now;
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
