package org.masticpaddle.rollout;

/**
 * Compares the progress of one answer with the time that the old versions would need, while the answer is still running.
 *
 * <p>Invariant: an answer that is slow stays slow. Not thread-safe: used on the owner's thread only.
 */
public final class AnswerTiming {
    /** Multiple of the expected time, plus the margin below, beyond which an answer is slow. */
    private static final double SLOW_FACTOR = 1.5;
    /** Margin for the jitter of short answers. */
    private static final double MARGIN_MILLIS = 50;
    /** Events after which the pace of a stream is known. */
    private static final int JUDGED_EVENTS = 8;

    private static final double NANOS_PER_MILLI = 1e6;

    private final long sentNanos;
    private final double expectedStartMillis;
    private final double expectedEventMillis;
    private int events;
    private boolean slow;

    /** State of an answer. */
    public enum Pace {
        /** It is within the expected time. */
        PENDING,
        /** It is beyond the expected time, and not yet slow. */
        LATE,
        /** It has kept the expected pace for long enough. */
        ON_TIME,
        /** It takes much longer than expected. */
        SLOW
    }

    /**
     * Starts the timing of an answer.
     *
     * @param sentNanos time at which the request was sent, in nanoseconds
     * @param expectedStartMillis expected time to the first event, or to the whole answer if it is not a stream
     * @param expectedEventMillis expected time between two events, 0 if it is not a stream
     */
    public AnswerTiming(long sentNanos, double expectedStartMillis, double expectedEventMillis) {
        this.sentNanos = sentNanos;
        this.expectedStartMillis = expectedStartMillis;
        this.expectedEventMillis = expectedEventMillis;
    }

    /**
     * Records the events that have arrived.
     *
     * @param count number of events so far
     * @param now current time in nanoseconds
     */
    public void onEvents(int count, long now) {
        pace(now);
        events = count;
    }

    /**
     * Returns the state of the answer. The next event is due one interval after the last expected one.
     *
     * @param now current time in nanoseconds
     * @return how the answer keeps to its schedule at that time
     */
    public Pace pace(long now) {
        final double expectedMillis = expectedStartMillis + events * expectedEventMillis;
        final double elapsedMillis = millis(now);
        slow |= elapsedMillis > SLOW_FACTOR * expectedMillis + MARGIN_MILLIS;
        if (slow) {
            return Pace.SLOW;
        }
        if (events >= JUDGED_EVENTS) {
            return Pace.ON_TIME;
        }
        return elapsedMillis > expectedMillis + MARGIN_MILLIS ? Pace.LATE : Pace.PENDING;
    }

    /**
     * Returns the number of events that have arrived.
     *
     * @return number of events, 0 if the answer is not a stream
     */
    public int events() {
        return events;
    }

    /**
     * Returns the time since the request was sent.
     *
     * @param now current time in nanoseconds
     * @return time in milliseconds
     */
    public double millis(long now) {
        return (now - sentNanos) / NANOS_PER_MILLI;
    }
}
