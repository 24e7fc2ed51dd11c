package org.masticpaddle.memory;

/**
 * Decides whether an answer is read on while its receiver has not taken what was read before, and when a receiver that takes nothing
 * is given up.
 *
 * <p>Reading pauses above {@link #PAUSE_BYTES} and goes on when half of that is left. A source may cut off an answer that stays
 * unread for some seconds, so that a pause ends after {@link #MAX_PAUSE_NANOS} and another {@link #PAUSE_BYTES} are read, until
 * {@link #MAX_READ_ON_BYTES} wait; from then on the answer is read as fast as its receiver takes it.
 *
 * <p>Invariants: reading is not paused for longer than {@link #MAX_PAUSE_NANOS} while less than {@link #MAX_READ_ON_BYTES} wait; a
 * receiver that takes bytes is not given up. Not thread-safe.
 */
public final class ReadingControl {
    /** Number of waiting bytes above which reading pauses. */
    public static final long PAUSE_BYTES = 64 * 1024;
    /** Number of waiting bytes up to which an answer is read on although its receiver takes nothing. */
    public static final long MAX_READ_ON_BYTES = 512 * 1024;
    /** Longest pause while less than {@link #MAX_READ_ON_BYTES} wait, in nanoseconds. */
    public static final long MAX_PAUSE_NANOS = 500_000_000L;
    /** Time without a byte taken after which a receiver is given up if its bytes are needed, in nanoseconds. */
    public static final long STALL_NANOS = 1_000_000_000L;
    /** Time without a byte taken after which a receiver is given up in any case, in nanoseconds. */
    public static final long MAX_STALL_NANOS = 10_000_000_000L;

    private long waitingBytes;
    private long limitBytes = PAUSE_BYTES;
    private long pausedNanos;
    private long progressNanos;
    private boolean paused;

    /**
     * Records bytes that were read for the receiver.
     *
     * @param bytes number of bytes
     * @param nowNanos current time by a clock that never decreases
     */
    public void added(long bytes, long nowNanos) {
        if (waitingBytes == 0) {
            progressNanos = nowNanos;
        }
        waitingBytes += bytes;
        if (!paused && waitingBytes > limitBytes) {
            paused = true;
            pausedNanos = nowNanos;
        }
    }

    /**
     * Records bytes that the receiver has taken.
     *
     * @param bytes number of bytes, at most as many as wait
     * @param nowNanos current time by a clock that never decreases
     * @return whether the answer is to be read on
     */
    public boolean taken(long bytes, long nowNanos) {
        if (bytes < 0 || bytes > waitingBytes) {
            throw new IllegalArgumentException(bytes + " bytes were taken of " + waitingBytes);
        }
        if (bytes > 0) {
            waitingBytes -= bytes;
            progressNanos = nowNanos;
        }
        if (waitingBytes <= PAUSE_BYTES / 2) {
            paused = false;
            limitBytes = PAUSE_BYTES;
        }
        return reading(nowNanos);
    }

    /**
     * Returns whether the answer is to be read on.
     *
     * @param nowNanos current time by a clock that never decreases
     * @return {@code false} while reading is paused
     */
    public boolean reading(long nowNanos) {
        if (paused && waitingBytes < MAX_READ_ON_BYTES && nowNanos - pausedNanos >= MAX_PAUSE_NANOS) {
            paused = false;
            limitBytes = waitingBytes + PAUSE_BYTES;
        }
        return !paused;
    }

    /**
     * Returns whether the receiver has taken nothing for so long that it is given up.
     *
     * @param nowNanos current time by a clock that never decreases
     * @return {@code true} if bytes wait and none was taken in {@link #MAX_STALL_NANOS}
     */
    public boolean stalled(long nowNanos) {
        return waitingBytes > 0 && nowNanos - progressNanos >= MAX_STALL_NANOS;
    }

    /**
     * Returns what the receiver has not taken.
     *
     * @return number of bytes
     */
    public long waitingBytes() {
        return waitingBytes;
    }

    /**
     * Returns the time since the receiver took a byte, or since bytes began to wait.
     *
     * @param nowNanos current time by a clock that never decreases
     * @return nanoseconds
     */
    public long stallNanos(long nowNanos) {
        return waitingBytes == 0 ? 0 : nowNanos - progressNanos;
    }
}
