package org.masticpaddle.gateway;

import java.util.List;
import java.util.Objects;
import java.util.OptionalDouble;
import java.util.function.ToDoubleFunction;

import org.masticpaddle.fleet.LastLoadReport;
import org.masticpaddle.fleet.PaceWindow;
import org.masticpaddle.fleet.UpstreamState;

/**
 * Tells upstreams that have just started or recovered how their peers do, which their pace is compared with.
 *
 * <p>Invariant: without the setting no upstream is paced. Used on the event loop only.
 */
final class UpstreamPace {
    private final GatewayState state;

    /**
     * Creates the duty of one gateway.
     *
     * @param state upstreams and settings of the gateway
     */
    UpstreamPace(GatewayState state) {
        this.state = Objects.requireNonNull(state, "state is null");
    }

    /** Compares the upstreams of each service with each other. Called about ten times a second. */
    void tick(long now) {
        state.registry().services().forEach(service -> update(state.registry().members(service), now));
    }

    /** Compares an upstream with its peers at once, since its entry was read and it may have just started. */
    void update(String id, long now) {
        state.registry()
                .find(id)
                .ifPresent(member ->
                        update(state.registry().members(member.upstream().service()), now));
    }

    private void update(List<UpstreamState> members, long now) {
        final PaceWindow.Peers peers = state.bounds().adaptivePace() ? peers(members, now) : PaceWindow.Peers.NONE;
        members.forEach(member -> member.pace().setPeers(peers));
    }

    private static PaceWindow.Peers peers(List<UpstreamState> members, long now) {
        final List<UpstreamState> settled = members.stream()
                .filter(member -> !member.pace().started(now) && !member.cold().cold(now))
                .toList();
        return new PaceWindow.Peers(
                settled.stream().anyMatch(member -> member.allowsRequest(now)),
                mean(settled, member -> member.performance().latencyRatio(now)).orElse(1),
                mean(settled, UpstreamState::inFlight).orElse(0),
                meanReported(
                        settled,
                        now,
                        report -> report.inFlightOfAllGateways(now).orElseThrow()),
                meanReported(settled, now, report -> report.waiting(now)),
                mean(settled, member -> member.performance().failureRate(now)).orElse(0),
                mean(settled, member -> member.performance().slowRate(now)).orElse(0));
    }

    private static OptionalDouble mean(List<UpstreamState> upstreams, ToDoubleFunction<UpstreamState> value) {
        return upstreams.stream().mapToDouble(value).average();
    }

    /** Returns the mean over the upstreams that have reported recently, 0 if none has. */
    private static double meanReported(
            List<UpstreamState> upstreams, long now, ToDoubleFunction<LastLoadReport> value) {
        return upstreams.stream()
                .map(UpstreamState::loadReport)
                .filter(report -> report.inFlightOfAllGateways(now).isPresent())
                .mapToDouble(value)
                .average()
                .orElse(0);
    }
}
