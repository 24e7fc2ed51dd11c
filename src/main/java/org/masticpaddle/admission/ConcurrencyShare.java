package org.masticpaddle.admission;

/**
 * Concurrency limiter for one organisation at one entry, with a limit that may be a fraction. Not thread-safe.
 *
 * <p>With a share of 0.25, the entry runs one request during a quarter of the time, so that many entries with small
 * shares keep the overall limit on average.
 */
final class ConcurrencyShare {
    /** Time constant of the average number of running requests. */
    private static final double SMOOTHING_TIME_CONSTANT_NANOS = 5e9;

    /**
     * Largest credit of unused share, in request-seconds; the debt is limited to ten times as much. The limits keep
     * both from outlasting the exchange of demand summaries.
     */
    private static final double MAX_CREDIT_REQUEST_SECONDS = 1;

    private int running;
    private double credit = MAX_CREDIT_REQUEST_SECONDS;
    private double share = Double.POSITIVE_INFINITY;
    private double averageRunning;
    private long updatedNanos;
    private boolean started;

    boolean allows(double newShare, long now) {
        update(now);
        share = newShare;
        return running + 1 <= share || running + 1 <= Math.ceil(share) && credit > 0;
    }

    void acquire() {
        running++;
    }

    void release(long now) {
        update(now);
        running = Math.max(0, running - 1);
    }

    double averageRunning() {
        return averageRunning;
    }

    int running() {
        return running;
    }

    void update(long now) {
        if (started && now > updatedNanos) {
            final double elapsed = now - updatedNanos;
            if (!Double.isInfinite(share)) {
                final double earned = (share - running) * elapsed / 1e9;
                credit = Math.max(
                        -10 * MAX_CREDIT_REQUEST_SECONDS, Math.min(MAX_CREDIT_REQUEST_SECONDS, credit + earned));
            }
            averageRunning += (1 - Math.exp(-elapsed / SMOOTHING_TIME_CONSTANT_NANOS)) * (running - averageRunning);
        }
        updatedNanos = started ? Math.max(updatedNanos, now) : now;
        started = true;
    }
}
