package org.masticpaddle.admission;

/**
 * What a gateway expects of a service for one request, at the time of a decision. Immutable and thread-safe.
 *
 * @param startMillis expected time until the answer starts at the best upstream, in milliseconds
 * @param placeFree whether that upstream is expected to begin the request without queueing it
 * @param takenFraction fraction of the places of all upstreams that requests of all gateways take, may exceed 1
 * @param queuedFraction requests that upstreams report as queued, as a fraction of their places
 * @param ownPlaces part of the places of all upstreams that this gateway may take, by its share of the traffic
 */
public record ServiceForecast(
        double startMillis, boolean placeFree, double takenFraction, double queuedFraction, double ownPlaces) {
    /** Fraction of the places below which a service counts as idle. */
    private static final double IDLE_FRACTION = 0.5;
    /** Queued requests, as a fraction of the places, up to which a single busy upstream does not count. */
    private static final double IDLE_QUEUED_FRACTION = 0.05;

    /** Returns whether the service has so much room that no request is held back, whatever its expected time. */
    boolean idle() {
        return takenFraction < IDLE_FRACTION && queuedFraction <= IDLE_QUEUED_FRACTION;
    }
}
