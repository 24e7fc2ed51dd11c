package org.masticpaddle.routes;

import java.util.Map;
import java.util.Objects;

/**
 * Capacities and prices that all upstreams of a service share. Immutable.
 *
 * @param name name of the service
 * @param maxConnections number of connections that one upstream accepts from all gateways together
 * @param tokenCapacity number of tokens that an engine holds in memory, 0 for plain services
 * @param tokensPerEvent number of tokens in one event of a stream, at least 1
 * @param modelCosts price of 1,000 generated tokens, by model name
 * @param coldSeconds time in seconds for which an upstream is cold after it has started during traffic
 * @param coldRequestsPerSecond requests a second that a cold upstream accepts from all gateways together; 0 for no limit
 */
public record ServicePolicy(
        String name,
        int maxConnections,
        long tokenCapacity,
        int tokensPerEvent,
        Map<String, Double> modelCosts,
        double coldSeconds,
        double coldRequestsPerSecond) {
    /** Checks the arguments and copies the map. */
    public ServicePolicy {
        Objects.requireNonNull(name, "name is null");
        modelCosts = Map.copyOf(modelCosts);
    }
}
