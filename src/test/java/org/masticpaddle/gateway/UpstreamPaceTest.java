package org.masticpaddle.gateway;

import java.net.URI;
import java.util.List;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.masticpaddle.fleet.Availability;
import org.masticpaddle.fleet.InFlightRequest;
import org.masticpaddle.fleet.Upstream;
import org.masticpaddle.fleet.UpstreamState;

import static com.google.common.truth.Truth.assertThat;

/** Guards against pacing that shuts a service, or that takes place where it is not asked for. */
class UpstreamPaceTest {
    private static final long SECOND = 1_000_000_000L;

    private final GatewayState state =
            new GatewayState(RolloutDeployment.BOUNDS, RandomSource.XO_RO_SHI_RO_128_PP.create(1L));
    private final UpstreamPace pace = new UpstreamPace(state);

    @Test
    void shouldPaceAnUpstreamThatStartsDuringTraffic() {
        list("old", 1);
        state.markUpstreamsListed();
        final UpstreamState started = list("new", 1);
        send(started);
        assertThat(started.availability(0)).isEqualTo(Availability.PACED);
        assertThat(started.availability(0).temporary()).isFalse();
        started.onSuccess(100, 100, 0);
        assertThat(started.availability(0)).isEqualTo(Availability.AVAILABLE);
    }

    @Test
    void shouldPaceAnUpstreamThatRecovers() {
        list("other", 1);
        final UpstreamState recovered = list("recovered", 1);
        recovered.onUnreachable(0);
        final InFlightRequest probe = recovered.assign("", List.of(), 0, 0, 0, SECOND);
        recovered.onNotRun(SECOND);
        assertThat(recovered.availability(SECOND)).isEqualTo(Availability.PACED);
        recovered.release(probe);
        assertThat(recovered.availability(SECOND)).isEqualTo(Availability.AVAILABLE);
    }

    @Test
    void shouldNotShutAServiceWhoseUpstreamsAreAllNew() {
        list("a", 1);
        list("b", 1);
        state.markUpstreamsListed();
        for (final UpstreamState restarted : List.of(list("a", 2), list("b", 2))) {
            for (int count = 0; count < 20; count++) {
                send(restarted);
            }
        }
        pace.tick(0);
        state.registry()
                .all()
                .forEach(member -> assertThat(member.availability(0)).isEqualTo(Availability.AVAILABLE));
    }

    @Test
    void shouldNotShutAServiceWhoseOtherUpstreamsAreUnreachable() {
        final UpstreamState old = list("old", 1);
        state.markUpstreamsListed();
        final UpstreamState started = list("new", 1);
        send(started);
        old.onUnreachable(0);
        pace.tick(0);
        assertThat(started.availability(0)).isEqualTo(Availability.AVAILABLE);
    }

    @Test
    void shouldPaceNothingWithoutTheSetting() {
        final GatewayBounds bounds = RolloutDeployment.BOUNDS;
        state.updateBounds(new GatewayBounds(
                bounds.keyRevocation(),
                bounds.drain(),
                bounds.settling(),
                bounds.grace(),
                bounds.retryShare(),
                bounds.retrySlack(),
                bounds.retryWindow(),
                bounds.exposureShare(),
                bounds.exposureSlack(),
                bounds.session(),
                bounds.evacuation(),
                bounds.coldOverage(),
                bounds.coldSlack(),
                false));
        list("old", 1);
        state.markUpstreamsListed();
        final UpstreamState started = list("new", 1);
        send(started);
        assertThat(started.availability(0)).isEqualTo(Availability.AVAILABLE);
    }

    private static void send(UpstreamState upstream) {
        upstream.assign("", List.of(), 0, 0, 0, 0);
    }

    private UpstreamState list(String id, long startMillis) {
        state.registry()
                .applyEntry(
                        new Upstream(id, "s", URI.create("http://127.0.0.1:1"), "d", "v1", 64, false, startMillis, 0),
                        0);
        pace.update(id, 0);
        return state.registry().find(id).orElseThrow();
    }
}
