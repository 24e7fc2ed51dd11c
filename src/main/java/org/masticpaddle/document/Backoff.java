package org.masticpaddle.document;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Exponential backoff with jitter: doubles the delay up to a maximum and subtracts up to half of it. Not thread-safe.
 */
final class Backoff {
    private static final long INITIAL_DELAY_MILLIS = 100;
    /** Leaves time for a retry and the replay within the 11 s in which an edit must take effect everywhere. */
    private static final long MAX_DELAY_MILLIS = 3_000;

    private final UniformRandomProvider random;
    private int failures;

    Backoff(UniformRandomProvider random) {
        this.random = random;
    }

    void reset() {
        failures = 0;
    }

    long nextDelayMillis() {
        final long delay = Math.min(MAX_DELAY_MILLIS, INITIAL_DELAY_MILLIS << Math.min(failures, 10));
        failures++;
        return delay / 2 + random.nextLong(delay / 2 + 1);
    }

    int failures() {
        return failures;
    }
}
