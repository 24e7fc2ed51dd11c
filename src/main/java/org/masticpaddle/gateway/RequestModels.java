package org.masticpaddle.gateway;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;

import org.masticpaddle.fleet.PromptSegment;
import org.masticpaddle.routes.ServicePolicy;
import org.masticpaddle.routing.UpstreamPlacement;

/**
 * Models that may run one request, by their index from the smallest, and what the request needs of them. Has no state of its
 * own; prices follow the routing table in force. Used on the event loop only.
 */
final class RequestModels {
    private final GatewayState state;
    private final AdmittedRequest admitted;
    private final String service;

    RequestModels(GatewayState state, AdmittedRequest admitted, String service) {
        this.state = Objects.requireNonNull(state, "state is null");
        this.admitted = Objects.requireNonNull(admitted, "admitted is null");
        this.service = Objects.requireNonNull(service, "service is null");
    }

    /** Returns the name of a model, or of the one that the caller selects if the route has no models by size. */
    String name(int index) {
        final List<String> models = admitted.route().modelsBySize();
        return models.isEmpty() ? admitted.request().model().orElse("") : models.get(index);
    }

    /** Returns the ratio of a model's price to that of the most expensive model. */
    double relativeCost(int index) {
        final Map<String, Double> costs = state.table()
                .flatMap(table -> table.service(service))
                .map(ServicePolicy::modelCosts)
                .orElse(Map.of());
        final double highestCost =
                costs.values().stream().mapToDouble(Double::doubleValue).max().orElse(1);
        return highestCost <= 0 ? 1 : costs.getOrDefault(name(index), highestCost) / highestCost;
    }

    /** Returns the capacity of an engine's KV cache in tokens, 0 if the service has no engines. */
    long tokenCapacity() {
        return admitted.table()
                .service(service)
                .map(ServicePolicy::tokenCapacity)
                .orElse(0L);
    }

    /** Returns the segments of the prompt that other requests may share: all but the last one, which is the request's own. */
    Set<String> sharedSegments() {
        final List<PromptSegment> prompt = admitted.request().prompt();
        return prompt.stream()
                .limit(Math.max(0, prompt.size() - 1))
                .map(PromptSegment::id)
                .collect(Collectors.toSet());
    }

    /**
     * Describes the request for the placement on a model.
     *
     * @param isolated whether the request may crash its upstream
     */
    UpstreamPlacement.Request placementRequest(String model, int index, boolean isolated) {
        final InboundRequest request = admitted.request();
        return new UpstreamPlacement.Request(
                model,
                relativeCost(index),
                request.prompt(),
                request.promptTokens(),
                admitted.body().length() / 1024.0,
                isolated);
    }

    /** Returns the expected number of events of the answer. */
    double expectedEvents() {
        final InboundRequest request = admitted.request();
        final int expectedTokens = Math.min(
                request.maxOutputTokens(), request.estimatedOutputTokens().orElse(request.maxOutputTokens()));
        return (double) expectedTokens
                / admitted.table()
                        .service(service)
                        .map(ServicePolicy::tokensPerEvent)
                        .orElse(1);
    }
}
