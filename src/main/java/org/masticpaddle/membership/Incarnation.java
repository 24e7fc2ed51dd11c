package org.masticpaddle.membership;

/**
 * One life of a process, as a number that grows with each restart: start time in milliseconds, then random bits that
 * keep two starts in the same millisecond apart. Immutable and thread-safe.
 *
 * @param value the number, positive; 0 stands for an unknown incarnation
 */
public record Incarnation(long value) implements Comparable<Incarnation> {
    private static final int RANDOM_BITS = 20;
    private static final long RANDOM_MASK = (1L << RANDOM_BITS) - 1;

    /** Checks the number. */
    public Incarnation {
        if (value < 0) {
            throw new IllegalArgumentException("incarnation is negative: " + value);
        }
    }

    /**
     * Builds the incarnation of a process that starts now.
     *
     * @param startMillis start time in milliseconds since 1970
     * @param random random bits, of which the lowest 20 are used
     * @return the incarnation
     */
    public static Incarnation of(long startMillis, long random) {
        return new Incarnation(startMillis << RANDOM_BITS | random & RANDOM_MASK);
    }

    /**
     * Returns the start time.
     *
     * @return milliseconds since 1970
     */
    public long startMillis() {
        return value >>> RANDOM_BITS;
    }

    @Override
    public int compareTo(Incarnation other) {
        return Long.compare(value, other.value);
    }
}
