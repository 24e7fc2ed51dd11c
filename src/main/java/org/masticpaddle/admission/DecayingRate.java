package org.masticpaddle.admission;

/** Exponentially decaying rate of events per second. Not thread-safe. */
final class DecayingRate {
    private final double timeConstantNanos;
    private double ratePerSecond;
    private long updatedNanos;
    private boolean started;

    DecayingRate(long timeConstantNanos) {
        this.timeConstantNanos = timeConstantNanos;
    }

    void add(double amount, long now) {
        decay(now);
        ratePerSecond += amount * 1e9 / timeConstantNanos;
    }

    /** Takes an amount back, as far as the rate has not fallen below it. */
    void remove(double amount, long now) {
        decay(now);
        ratePerSecond = Math.max(0, ratePerSecond - amount * 1e9 / timeConstantNanos);
    }

    /** Forgets all amounts before this one. */
    void replace(double amount, long now) {
        decay(now);
        ratePerSecond = amount * 1e9 / timeConstantNanos;
    }

    double perSecond(long now) {
        decay(now);
        return ratePerSecond;
    }

    private void decay(long now) {
        if (!started) {
            started = true;
            updatedNanos = now;
        }
        if (now > updatedNanos) {
            ratePerSecond *= Math.exp((updatedNanos - now) / timeConstantNanos);
            updatedNanos = now;
        }
    }
}
