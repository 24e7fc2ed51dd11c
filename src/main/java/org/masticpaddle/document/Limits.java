package org.masticpaddle.document;

/**
 * Limits of an organisation across all entries. Infinity means no limit. Immutable and thread-safe.
 *
 * @param requestsPerSecond requests per second
 * @param tokensPerSecond prompt and generated tokens per second
 * @param concurrent concurrent requests
 * @param spendMicrosPerHour spend per hour, in millionths of the currency unit
 */
public record Limits(double requestsPerSecond, double tokensPerSecond, double concurrent, double spendMicrosPerHour) {
    /** No limits. */
    public static final Limits NONE = new Limits(
            Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY);
}
