package org.masticpaddle.admission;

/**
 * Demand of an organisation, averaged over some seconds; includes rejected requests. Immutable and thread-safe.
 *
 * @param requests requests per second
 * @param tokens tokens per second
 * @param concurrent requests in flight
 * @param spend spend per second, in millionths of the currency unit
 */
public record Demand(double requests, double tokens, double concurrent, double spend) {
    /** Demand of an organisation without requests. */
    public static final Demand NONE = new Demand(0, 0, 0, 0);

    /**
     * Adds two demands.
     *
     * @param other demand to add
     * @return sum of each component
     */
    public Demand plus(Demand other) {
        return new Demand(
                requests + other.requests, tokens + other.tokens, concurrent + other.concurrent, spend + other.spend);
    }
}
