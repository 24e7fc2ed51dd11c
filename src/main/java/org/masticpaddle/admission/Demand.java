package org.masticpaddle.admission;

/**
 * Demand of an organisation, smoothed over some seconds, whether admitted or not. Immutable and thread-safe.
 *
 * @param requests requests a second
 * @param tokens tokens a second
 * @param concurrent requests at the same time
 * @param spend spend a second, in millionths of the currency unit
 */
public record Demand(double requests, double tokens, double concurrent, double spend) {
    /** No demand. */
    public static final Demand NONE = new Demand(0, 0, 0, 0);

    /**
     * Adds two demands.
     *
     * @param other the other
     * @return the sum
     */
    public Demand plus(Demand other) {
        return new Demand(
                requests + other.requests, tokens + other.tokens, concurrent + other.concurrent, spend + other.spend);
    }
}
