package org.masticpaddle.gateway;

import java.util.List;
import java.util.Objects;
import java.util.OptionalInt;

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
                settled.stream()
                        .mapToDouble(member -> member.performance().latencyRatio(now))
                        .average()
                        .orElse(1),
                settled.stream().mapToInt(UpstreamState::inFlight).average().orElse(0),
                settled.stream()
                        .map(member -> member.loadReport().inFlightOfAllGateways(now))
                        .flatMapToInt(OptionalInt::stream)
                        .average()
                        .orElse(0));
    }
}
