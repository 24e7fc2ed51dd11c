package org.masticpaddle.rollout;

import java.util.Map;
import java.util.Objects;

/**
 * What one gateway saw of a roll-out since its order, as gateways tell each other. Immutable.
 *
 * @param service name of the service
 * @param order identifier of the order
 * @param routes counts by route
 * @param stage number of the stage that the gateway has reached
 * @param passedMillis time since the order as the gateway knows it
 * @param runningBefore requests that run on other versions at the gateway
 */
public record RolloutCounts(
        String service, long order, Map<String, RouteCounts> routes, int stage, long passedMillis, int runningBefore) {
    /** Checks the arguments and copies the map. */
    public RolloutCounts {
        Objects.requireNonNull(service, "service is null");
        routes = Map.copyOf(Objects.requireNonNull(routes, "routes is null"));
    }
}
