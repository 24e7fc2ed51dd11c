package org.masticpaddle.admission;

/** Exponentially weighted rate of events a second. Not thread-safe. */
final class DecayingRate {
    private final double constantNanos;
    private double rate;
    private long updated;
    private boolean started;

    DecayingRate(long constantNanos) {
        this.constantNanos = constantNanos;
    }

    void add(double amount, long now) {
        decay(now);
        rate += amount * 1e9 / constantNanos;
    }

    double perSecond(long now) {
        decay(now);
        return rate;
    }

    private void decay(long now) {
        if (!started) {
            started = true;
            updated = now;
        }
        if (now > updated) {
            rate *= Math.exp((updated - now) / constantNanos);
            updated = now;
        }
    }
}
