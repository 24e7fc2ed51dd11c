package org.masticpaddle.rollout;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * State of a rollout at one gateway since the order, as gateways exchange it through the log. Immutable.
 *
 * @param service name of the service
 * @param version version that is rolled out, empty in the counts of a gateway that does not name it
 * @param order identifier of the order, its offset in the operators' stream
 * @param routes counts by the name of the route
 * @param stage index of the last stage that the gateway has scheduled
 * @param stageStartMillis start of that stage, in milliseconds since the order
 * @param passedMillis time since the order, in milliseconds, by the clock of the gateway
 * @param activity requests of the gateway that are in flight
 * @param sessions active sessions that run on another version than their hash assigns them to
 */
public record RolloutCounts(
        String service,
        String version,
        long order,
        Map<String, RouteCounts> routes,
        int stage,
        long stageStartMillis,
        long passedMillis,
        GatewayActivity activity,
        List<SessionUse> sessions) {
    /** Checks the arguments and copies the collections. */
    public RolloutCounts {
        Objects.requireNonNull(service, "service is null");
        version = Objects.requireNonNullElse(version, "");
        Objects.requireNonNull(activity, "activity is null");
        routes = Map.copyOf(Objects.requireNonNull(routes, "routes is null"));
        sessions = List.copyOf(Objects.requireNonNull(sessions, "sessions is null"));
    }
}
