package org.masticpaddle.gateway;

import java.util.List;
import java.util.Objects;
import java.util.OptionalInt;

import org.masticpaddle.admission.ServiceForecast;
import org.masticpaddle.fleet.UpstreamState;
import org.masticpaddle.routing.UpstreamPlacement;

/**
 * Forecasts of one service from the reports of its upstreams, the requests of this gateway and its share of the traffic. Has no
 * state of its own. Used on the event loop only.
 */
final class ServiceForecaster {
    private final GatewayState state;
    private final String service;

    ServiceForecaster(GatewayState state, String service) {
        this.state = Objects.requireNonNull(state, "state is null");
        this.service = Objects.requireNonNull(service, "service is null");
    }

    /**
     * Forecasts the service for one request.
     *
     * @param choice upstream that would get the request
     * @param startRatio ratio of the observed to the expected time until answers start
     * @param now current time in nanoseconds
     */
    ServiceForecast forecast(UpstreamPlacement.Choice choice, double startRatio, long now) {
        final double share = state.limits().trafficShare(service);
        int places = 0;
        int own = 0;
        int reported = 0;
        int reportedPlaces = 0;
        int waiting = 0;
        for (final UpstreamState member : openMembers(choice, now)) {
            places += member.slots();
            own += member.inFlight();
            waiting += member.loadReport().waiting(now);
            final OptionalInt inFlight = member.loadReport().inFlightOfAllGateways(now);
            if (inFlight.isPresent()) {
                reported += inFlight.getAsInt();
                reportedPlaces += member.slots();
            }
        }
        final double ownPlaces = share * places;
        final double takenFraction = reportedPlaces > 0 ? (double) reported / reportedPlaces : own / ownPlaces;
        return new ServiceForecast(
                expectedMillis(choice, now) * startRatio,
                choice.serviceMillis() * choice.member().performance().latencyRatio(now) * startRatio,
                placeFree(choice.member(), share, now),
                Math.max(takenFraction, (double) own / places),
                waiting,
                ownPlaces);
    }

    /** Returns the expected time until the answer starts, corrected by what the upstream has shown. */
    static double expectedMillis(UpstreamPlacement.Choice choice, long now) {
        return choice.expectedMillis() * choice.member().performance().latencyRatio(now);
    }

    private List<UpstreamState> openMembers(UpstreamPlacement.Choice choice, long now) {
        return state.registry().members(service).stream()
                .filter(member -> member == choice.member() || member.allowsRequest(now))
                .toList();
    }

    /** Without a recent report, only the places by the share of this gateway are expected to be free. */
    private static boolean placeFree(UpstreamState member, double share, long now) {
        return member.loadReport().inFlightOfAllGateways(now).isPresent()
                ? member.loadReport().waiting(now) == 0
                        && member.inFlight() + member.loadReport().inFlightOfOtherGateways(now) < member.slots()
                : member.inFlight() < Math.max(1, share * member.slots());
    }
}
