package org.masticpaddle.routes;

import java.util.Map;
import java.util.Objects;

/**
 * What all upstreams of a service have in common. Immutable.
 *
 * @param name name of the service
 * @param maxConnections connections that one upstream accepts from all gateways together
 * @param tokenCapacity tokens that an engine keeps in memory, 0 for plain services
 * @param tokensPerEvent tokens that one event of a stream holds, at least 1
 * @param modelCosts price of 1,000 generated tokens by model name
 */
public record ServicePolicy(
        String name, int maxConnections, long tokenCapacity, int tokensPerEvent, Map<String, Double> modelCosts) {
    /** Checks the arguments and copies the map. */
    public ServicePolicy {
        Objects.requireNonNull(name, "name is null");
        modelCosts = Map.copyOf(modelCosts);
    }
}
