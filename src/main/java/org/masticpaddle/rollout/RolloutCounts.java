package org.masticpaddle.rollout;

import java.util.Map;
import java.util.Objects;

/**
 * State of a rollout at one gateway since the order, as gateways exchange it through the log. Immutable.
 *
 * @param service name of the service
 * @param order identifier of the order, its offset in the operators' stream
 * @param routes counts by the name of the route
 * @param stage index of the stage that the gateway has reached
 * @param passedMillis time since the order, in milliseconds, by the clock of the gateway
 * @param runningBefore requests of the gateway that run on other versions
 */
public record RolloutCounts(
        String service, long order, Map<String, RouteCounts> routes, int stage, long passedMillis, int runningBefore) {
    /** Checks the arguments and copies the map. */
    public RolloutCounts {
        Objects.requireNonNull(service, "service is null");
        routes = Map.copyOf(Objects.requireNonNull(routes, "routes is null"));
    }
}
