package org.masticpaddle.control;

import java.time.Duration;
import java.util.Objects;

/**
 * Timing of the reads of a stream. Immutable.
 *
 * <p>The pause of reads that return at once is counted from the sending of the last one, since its response holds all records
 * acknowledged by then; that of held reads is counted from the response.
 *
 * @param longPollTimeout time for which the log holds a read while there is no record; zero to return at once
 * @param pause maximum delay between two reads
 * @param maxBackoff maximum delay after a failed request
 */
public record ReadTiming(Duration longPollTimeout, Duration pause, Duration maxBackoff) {
    /** Maximum delay after a failed request, short compared with the time within which a change must take effect. */
    private static final Duration SHORT_BACKOFF = Duration.ofMillis(400);

    /** Checks the arguments. */
    public ReadTiming {
        Objects.requireNonNull(longPollTimeout, "longPollTimeout is null");
        Objects.requireNonNull(pause, "pause is null");
        Objects.requireNonNull(maxBackoff, "maxBackoff is null");
    }

    /**
     * Creates the timing of reads that the log holds until there is a record.
     *
     * @param longPollTimeout time for which the log holds a read while there is no record
     * @return timing without a pause between two reads
     */
    public static ReadTiming longPoll(Duration longPollTimeout) {
        return new ReadTiming(longPollTimeout, Duration.ZERO, SHORT_BACKOFF);
    }

    /**
     * Creates the timing of reads that return at once.
     *
     * @param pause maximum delay between two reads
     * @return timing without a long-poll timeout
     */
    public static ReadTiming periodic(Duration pause) {
        return new ReadTiming(Duration.ZERO, pause, SHORT_BACKOFF);
    }

    /**
     * Replaces the maximum delay after a failed request.
     *
     * @param backoff new maximum, at least that of the other factories
     * @return timing with the longer of both delays
     */
    ReadTiming withMaxBackoff(Duration backoff) {
        return new ReadTiming(longPollTimeout, pause, backoff.compareTo(SHORT_BACKOFF) > 0 ? backoff : SHORT_BACKOFF);
    }

    /**
     * Replaces the pause.
     *
     * @param newPause maximum delay between two reads
     * @return timing with the other pause
     */
    ReadTiming withPause(Duration newPause) {
        return new ReadTiming(longPollTimeout, newPause, maxBackoff);
    }
}
