package org.masticpaddle.document;

import org.apache.commons.rng.UniformRandomProvider;

/** Delays between tries: doubled with each failure up to a bound, with jitter of half. Used by one thread. */
final class Backoff {
    private static final long FIRST_MILLIS = 100;
    /** Leaves room for a retry and the fold within the 11 s in which an edit takes effect everywhere. */
    private static final long LONGEST_MILLIS = 3_000;

    private final UniformRandomProvider random;
    private int failures;

    Backoff(UniformRandomProvider random) {
        this.random = random;
    }

    void succeeded() {
        failures = 0;
    }

    long failedMillis() {
        final long delay = Math.min(LONGEST_MILLIS, FIRST_MILLIS << Math.min(failures, 10));
        failures++;
        return delay / 2 + random.nextLong(delay / 2 + 1);
    }

    int failures() {
        return failures;
    }
}
