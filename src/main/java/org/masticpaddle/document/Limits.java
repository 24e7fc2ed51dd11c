package org.masticpaddle.document;

/**
 * Limits of an organisation over all entries together. Immutable and thread-safe.
 *
 * @param requestsPerSecond requests a second
 * @param tokensPerSecond prompt and generated tokens a second
 * @param concurrent requests at the same time
 * @param spendMicrosPerHour spend an hour, in millionths of the currency unit
 */
public record Limits(double requestsPerSecond, double tokensPerSecond, double concurrent, double spendMicrosPerHour) {
    /** No limit at all. */
    public static final Limits NONE = new Limits(
            Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY);
}
