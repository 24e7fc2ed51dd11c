package org.masticpaddle.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.OptionalDouble;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;
import org.masticpaddle.decisions.Decision;
import org.masticpaddle.decisions.DecisionLog;
import org.masticpaddle.fleet.ColdLimit;
import org.masticpaddle.fleet.UpstreamState;

/**
 * Divides the requests that cold upstreams may get between the gateways, by their shares of the traffic.
 *
 * <p>Invariants: a gateway that does not know its share sends nothing to a cold upstream while another upstream of the service is
 * open; if none is, it sends so little that several hundred such gateways do not count. Used on the event loop only.
 */
final class ColdUpstreams {
    /** Smallest share while no other upstream is open, so that each gateway can begin. */
    private static final double MIN_SHARE = 0.001;

    private static final double NANOS_PER_MILLI = 1e6;

    private final GatewayState state;
    private final UniformRandomProvider random;
    private final DecisionLog log;
    private final GatewayCounters counters;
    private final Set<String> coldIds = new HashSet<>();

    /**
     * Creates a duty that knows no cold upstream.
     *
     * @param state upstreams, configuration and shares of the gateway
     * @param random source of the time of the first permit
     * @param log decision log
     * @param counters counters of the gateway
     */
    ColdUpstreams(GatewayState state, UniformRandomProvider random, DecisionLog log, GatewayCounters counters) {
        this.state = Objects.requireNonNull(state, "state is null");
        this.random = Objects.requireNonNull(random, "random is null");
        this.log = Objects.requireNonNull(log, "log is null");
        this.counters = Objects.requireNonNull(counters, "counters is null");
    }

    /** Updates the limits and the shares. Called about ten times a second. */
    void tick(long now) {
        state.registry().services().forEach(service -> {
            final List<UpstreamState> members = state.registry().members(service);
            final ColdLimit limit = limit(service);
            final double permitsPerSecond = permitsPerSecond(service, limit, members, now);
            members.forEach(member -> apply(member, limit, permitsPerSecond, now));
        });
        coldIds.removeIf(id -> state.registry().find(id).isEmpty());
    }

    /** Applies the limit to an upstream at once, since its entry was read and it may have just started. */
    void update(String id, long now) {
        state.registry().find(id).ifPresent(member -> {
            final String service = member.upstream().service();
            final ColdLimit limit = limit(service);
            final List<UpstreamState> members = state.registry().members(service);
            apply(member, limit, permitsPerSecond(service, limit, members, now), now);
        });
    }

    private ColdLimit limit(String service) {
        final GatewayBounds bounds = state.bounds();
        return state.table()
                .flatMap(table -> table.service(service))
                .map(policy -> new ColdLimit(
                        policy.coldSeconds(), policy.coldRequestsPerSecond(), bounds.coldOverage(), bounds.coldSlack()))
                .orElse(ColdLimit.NONE);
    }

    private double permitsPerSecond(String service, ColdLimit limit, List<UpstreamState> members, long now) {
        final boolean waiting = state.limits().queue(service).size() > 0;
        return limit.permitsPerSecond(share(service, members, now), waiting);
    }

    private double share(String service, List<UpstreamState> members, long now) {
        final OptionalDouble observed = state.limits().observedShare(service, now);
        final boolean othersOpen =
                members.stream().anyMatch(member -> !member.cold().cold(now) && member.allowsRequest(now));
        return othersOpen ? observed.orElse(0) : Math.max(MIN_SHARE, observed.orElse(0));
    }

    private void apply(UpstreamState member, ColdLimit limit, double permitsPerSecond, long now) {
        member.cold().setLimit(limit, permitsPerSecond, random.nextDouble(), now);
        final boolean cold = member.cold().cold(now);
        final String id = member.upstream().id();
        if (cold ? coldIds.add(id) : coldIds.remove(id)) {
            if (cold) {
                counters.add(GatewayCounters.Counter.COLD_PERIODS);
            }
            log.write(
                    Decision.UPSTREAM_COLD,
                    "upstream",
                    id,
                    "service",
                    member.upstream().service(),
                    "cold",
                    cold,
                    "left_ms",
                    member.cold().leftNanos(now) / NANOS_PER_MILLI,
                    "max_requests_per_second",
                    limit.maxRequests(),
                    "permits_per_second",
                    permitsPerSecond);
        }
    }
}
