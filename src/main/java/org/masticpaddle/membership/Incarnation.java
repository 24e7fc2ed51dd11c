package org.masticpaddle.membership;

/**
 * Incarnation of a process: a number that grows with each restart. It holds the start time in milliseconds in the high
 * bits and 20 random bits below, which distinguish two starts within one millisecond. Immutable and thread-safe.
 *
 * @param value incarnation number, not negative; 0 means unknown
 */
public record Incarnation(long value) implements Comparable<Incarnation> {
    private static final int RANDOM_BITS = 20;
    private static final long RANDOM_MASK = (1L << RANDOM_BITS) - 1;

    /** Rejects negative numbers. */
    public Incarnation {
        if (value < 0) {
            throw new IllegalArgumentException("incarnation is negative: " + value);
        }
    }

    /**
     * Creates the incarnation of a process.
     *
     * @param startMillis start time in milliseconds since 1970
     * @param random random bits, of which the lowest 20 are used
     * @return incarnation above those of all starts in earlier milliseconds
     */
    public static Incarnation of(long startMillis, long random) {
        return new Incarnation(startMillis << RANDOM_BITS | random & RANDOM_MASK);
    }

    /**
     * Returns the start time of the process.
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
