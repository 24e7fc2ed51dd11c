package org.masticpaddle.gateway;

import java.util.Objects;

import org.apache.commons.rng.UniformRandomProvider;
import org.masticpaddle.decisions.DecisionLog;
import org.masticpaddle.kernel.Scheduler;
import org.masticpaddle.memory.MemoryBudget;
import org.masticpaddle.routing.ModelCascade;
import org.masticpaddle.routing.UpstreamPlacement;
import org.masticpaddle.wire.StreamClient;

/**
 * Components that the requests of a gateway share. Immutable; the components are used on the event loop only, unless their
 * documentation says otherwise.
 *
 * @param scheduler clock and timers of the event loop
 * @param client HTTP client for upstreams
 * @param healthProbe probe of unresponsive upstreams
 * @param headerCodec codec of request and response headers
 * @param state state of the gateway
 * @param versionRouter choice of the versions that a request may run on
 * @param quarantine quarantine of prompt segments that crash upstreams
 * @param placement policy that chooses the upstream
 * @param modelCascade policy that chooses the model on routes with several model sizes
 * @param urgencyOrder order of the requests of one service
 * @param answerMemory memory for answers of upstreams that are not complete
 * @param log decision log
 * @param counters counters of the gateway
 * @param random source of jitter
 */
record GatewayContext(
        Scheduler scheduler,
        StreamClient client,
        UpstreamHealthProbe healthProbe,
        HeaderCodec headerCodec,
        GatewayState state,
        VersionRouter versionRouter,
        QuarantineCoordinator quarantine,
        UpstreamPlacement placement,
        ModelCascade modelCascade,
        UrgencyOrder urgencyOrder,
        MemoryBudget answerMemory,
        DecisionLog log,
        GatewayCounters counters,
        UniformRandomProvider random) {
    GatewayContext {
        Objects.requireNonNull(scheduler, "scheduler is null");
        Objects.requireNonNull(client, "client is null");
        Objects.requireNonNull(headerCodec, "headerCodec is null");
        Objects.requireNonNull(state, "state is null");
        Objects.requireNonNull(versionRouter, "versionRouter is null");
        Objects.requireNonNull(quarantine, "quarantine is null");
        Objects.requireNonNull(urgencyOrder, "urgencyOrder is null");
        Objects.requireNonNull(answerMemory, "answerMemory is null");
    }
}
