package org.masticpaddle.admission;

/**
 * Requests of one organisation in flight at one entry, against a share that need not be whole. Not thread-safe.
 *
 * <p>With a share of 0.25 the entry runs one request for a quarter of the time, so that many entries with small shares
 * keep the limit on average.
 */
final class ConcurrencyShare {
    private static final double SMOOTHING_NANOS = 5e9;

    /** Credit or debt in requests times seconds; bounded so that neither outlives the exchange of summaries. */
    private static final double MOST_CREDIT = 1;

    private int running;
    private double credit = MOST_CREDIT;
    private double share = Double.POSITIVE_INFINITY;
    private double average;
    private long updated;
    private boolean started;

    boolean admits(double newShare, long now) {
        update(now);
        share = newShare;
        return running + 1 <= share || running + 1 <= Math.ceil(share) && credit > 0;
    }

    void begin() {
        running++;
    }

    void end(long now) {
        update(now);
        running = Math.max(0, running - 1);
    }

    double average() {
        return average;
    }

    int running() {
        return running;
    }

    void update(long now) {
        if (started && now > updated) {
            final double elapsed = now - updated;
            if (!Double.isInfinite(share)) {
                final double earned = (share - running) * elapsed / 1e9;
                credit = Math.max(-10 * MOST_CREDIT, Math.min(MOST_CREDIT, credit + earned));
            }
            average += (1 - Math.exp(-elapsed / SMOOTHING_NANOS)) * (running - average);
        }
        updated = started ? Math.max(updated, now) : now;
        started = true;
    }
}
