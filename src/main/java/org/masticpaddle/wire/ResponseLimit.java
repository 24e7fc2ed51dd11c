package org.masticpaddle.wire;

import java.time.Duration;
import java.util.Objects;

/**
 * Limit on the time from the sending of a request to the last byte of its response. The time grows with the part of the body
 * that has arrived, so that a large response has time on a slow link, while one that trickles has not. Immutable and
 * thread-safe.
 *
 * @param time time for a response without a body
 * @param minBytesPerSecond rate at which a body must arrive beyond that time, at least 1
 */
public record ResponseLimit(Duration time, long minBytesPerSecond) {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    /** Checks the arguments. */
    public ResponseLimit {
        Objects.requireNonNull(time, "time is null");
        if (minBytesPerSecond < 1) {
            throw new IllegalArgumentException("minBytesPerSecond is " + minBytesPerSecond);
        }
    }

    /**
     * Returns the time that a response has from the sending of its request.
     *
     * @param bodyBytes bytes of the body that have arrived, less than 2^33
     * @return time after which the request fails unless the response is complete or more of it has arrived
     */
    Duration timeFor(long bodyBytes) {
        return time.plusNanos(bodyBytes * NANOS_PER_SECOND / minBytesPerSecond);
    }
}
