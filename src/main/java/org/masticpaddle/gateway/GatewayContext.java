package org.masticpaddle.gateway;

import java.util.Objects;

import org.apache.commons.rng.UniformRandomProvider;
import org.masticpaddle.decisions.DecisionLog;
import org.masticpaddle.kernel.Scheduler;
import org.masticpaddle.routing.ModelCascade;
import org.masticpaddle.routing.UpstreamPlacement;
import org.masticpaddle.wire.HttpClient;

/**
 * What the parts of a gateway share. Immutable; what it holds is used on the event loop only, unless it says otherwise.
 *
 * @param scheduler time and timers of the event loop
 * @param client client for upstreams
 * @param silence test of upstreams that give no sign of life
 * @param dialect headers of requests and answers
 * @param state what the gateway knows
 * @param versions which versions of a service a request may run on
 * @param placement choice of the upstream
 * @param ladder choice of the model
 * @param log log of decisions
 * @param counters counts of the gateway
 * @param random source of jitter
 */
record GatewayContext(
        Scheduler scheduler,
        HttpClient client,
        UpstreamHealthProbe silence,
        HeaderCodec dialect,
        GatewayState state,
        VersionRouter versions,
        UpstreamPlacement placement,
        ModelCascade ladder,
        DecisionLog log,
        GatewayCounters counters,
        UniformRandomProvider random) {
    GatewayContext {
        Objects.requireNonNull(scheduler, "scheduler is null");
        Objects.requireNonNull(client, "client is null");
        Objects.requireNonNull(dialect, "dialect is null");
        Objects.requireNonNull(state, "state is null");
        Objects.requireNonNull(versions, "versions is null");
    }
}
