package org.masticpaddle.gateway;

import java.net.URI;
import java.util.List;
import java.util.OptionalDouble;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.masticpaddle.admission.ServiceForecast;
import org.masticpaddle.fleet.SelfReports;
import org.masticpaddle.fleet.Upstream;
import org.masticpaddle.fleet.UpstreamState;
import org.masticpaddle.routing.UpstreamPlacement;

import static com.google.common.truth.Truth.assertThat;

/** Guards against gateways that take more than their part of the places, or hold requests back while places are free. */
class ServiceForecasterTest {
    private static final long NOW = 1_000_000_000L;

    private final GatewayState state =
            new GatewayState(RolloutDeployment.BOUNDS, RandomSource.XO_RO_SHI_RO_128_PP.create(1L));
    private final UpstreamState first = upstream("first");
    private final UpstreamState second = upstream("second");

    @Test
    void shouldCountPlacesByReports() {
        report(first, 5, 0);
        report(second, 10, 2);
        final ServiceForecast forecast = forecast(first);
        assertThat(forecast.takenFraction()).isWithin(1e-9).of(17.0 / 20);
        assertThat(forecast.queuedFraction()).isWithin(1e-9).of(2.0 / 20);
        assertThat(forecast.placeFree()).isTrue();
        assertThat(forecast(second).placeFree()).isFalse();
    }

    @Test
    void shouldTakeOnlyItsShareOfThePlacesWithoutReports() {
        assertThat(forecast(first).placeFree()).isTrue();
        assign(first);
        // The share of a gateway that knows only itself is less than one of the 20 places.
        assertThat(forecast(first).placeFree()).isFalse();
        assertThat(forecast(second).placeFree()).isTrue();
        assertThat(forecast(first).takenFraction()).isGreaterThan(1.0);
    }

    @Test
    void shouldCountOwnRequestsThatNoReportIncludesYet() {
        report(first, 1, 0);
        for (int index = 0; index < 10; index++) {
            assign(first);
        }
        assertThat(forecast(first).placeFree()).isFalse();
        assertThat(forecast(first).takenFraction()).isAtLeast(0.5);
    }

    private ServiceForecast forecast(UpstreamState member) {
        return new ServiceForecaster(state, "s")
                .forecast(new UpstreamPlacement.Choice(member, 100, 50, 0, 100), 1, NOW);
    }

    private static void report(UpstreamState member, int running, int waiting) {
        member.onReport(SelfReports.load(running, waiting, 10, OptionalDouble.empty()), true, false, NOW);
    }

    private static void assign(UpstreamState member) {
        member.assign("", List.of(), 0, 0, 0, NOW);
    }

    private UpstreamState upstream(String id) {
        state.registry()
                .applyEntry(new Upstream(id, "s", URI.create("http://127.0.0.1:1"), "d", "v1", 10, false, 1), NOW);
        return state.registry().find(id).orElseThrow();
    }
}
