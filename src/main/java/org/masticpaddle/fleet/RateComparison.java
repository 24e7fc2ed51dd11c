package org.masticpaddle.fleet;

/**
 * Tells whether something happens at an upstream more often than at its peers, from few observations.
 *
 * <p>Invariant: where it never happens at the peers, a single occurrence is more often. Not thread-safe: confined to the thread of
 * its owner.
 */
final class RateComparison {
    /** Standard deviations above the expected number of occurrences from which they are more. */
    private static final double DEVIATIONS = 3;

    private int observations;
    private int occurrences;

    /** Forgets the observations. */
    void reset() {
        observations = 0;
        occurrences = 0;
    }

    /**
     * Records an observation.
     *
     * @param occurred whether it happened
     */
    void record(boolean occurred) {
        observations++;
        occurrences += occurred ? 1 : 0;
    }

    /**
     * Returns whether it happened more often than at the peers.
     *
     * @param peersRate part of the observations of the peers in which it happened, between 0 and 1
     * @return {@code true} if the difference is hardly due to chance
     */
    boolean moreOftenThan(double peersRate) {
        final double expected = peersRate * observations;
        return occurrences > expected + DEVIATIONS * Math.sqrt(expected);
    }
}
