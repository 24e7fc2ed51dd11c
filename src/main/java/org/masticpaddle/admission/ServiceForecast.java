package org.masticpaddle.admission;

/**
 * What a gateway expects of a service for one request, at the time of a decision. Immutable and thread-safe.
 *
 * @param startMillis expected time until the answer starts at the best upstream, in milliseconds
 * @param serviceMillis part of that time for which the upstream works on the request itself, in milliseconds
 * @param placeFree whether that upstream is expected to begin the request without queueing it
 * @param takenFraction fraction of the places of all upstreams that requests of all gateways take, may exceed 1
 * @param waiting number of requests that upstreams report as queued
 * @param ownPlaces part of the places of all upstreams that this gateway may take, by its share of the traffic
 */
public record ServiceForecast(
        double startMillis,
        double serviceMillis,
        boolean placeFree,
        double takenFraction,
        int waiting,
        double ownPlaces) {
    /** Fraction of the places below which a service counts as idle. */
    private static final double IDLE_FRACTION = 0.5;

    /** Returns the same forecast without a free place. */
    ServiceForecast withoutPlace() {
        return placeFree
                ? new ServiceForecast(startMillis, serviceMillis, false, takenFraction, waiting, ownPlaces)
                : this;
    }

    /** Returns whether the service has so much room that no request is held back, whatever its expected time. */
    boolean idle() {
        return takenFraction < IDLE_FRACTION && waiting == 0;
    }
}
