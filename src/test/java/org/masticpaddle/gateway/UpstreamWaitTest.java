package org.masticpaddle.gateway;

import java.net.URI;
import java.util.List;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.masticpaddle.fleet.ColdLimit;
import org.masticpaddle.fleet.SelfReport;
import org.masticpaddle.fleet.SelfReports;
import org.masticpaddle.fleet.Upstream;
import org.masticpaddle.fleet.UpstreamState;
import org.masticpaddle.kernel.FakeScheduler;

import static com.google.common.truth.Truth.assertThat;

/** Guards against requests that are rejected for a long time although a place is expected soon. */
class UpstreamWaitTest {
    private static final SelfReport PAUSE = SelfReports.pause(false, 0.8);

    private final FakeScheduler scheduler = new FakeScheduler();
    private final GatewayState state =
            new GatewayState(RolloutDeployment.BOUNDS, RandomSource.XO_RO_SHI_RO_128_PP.create(1L));

    @Test
    void shouldExpectAPlaceSoonWhileOneUpstreamIsProbedAndTheOtherIsAboutToBe() {
        final UpstreamState probed = paused("probed");
        paused("free-for-one");
        scheduler.advance(1_000);
        probed.assign("", List.of(), 0, 0, 0, scheduler.nanos());

        final UpstreamWait first = new UpstreamWait(state, scheduler, "s", 1);
        final UpstreamWait second = new UpstreamWait(state, scheduler, "s", 1);
        first.begin();
        assertThat(second.blocked()).isTrue();
        assertThat(second.expectedMillis()).isLessThan(1_000.0);
    }

    /** A request may wait for an upstream whose circuit closes soon although a cold one would have a permit much later. */
    @Test
    void shouldExpectAPlaceSoonWhileAWarmUpstreamIsProbedBesideAColdOne() {
        listed("cold", 2_000).cold().setLimit(new ColdLimit(3, 10, 1.5, 5), 0.01, 0, scheduler.nanos());
        final UpstreamState warm = listed("warm", 0);
        final UpstreamWait wait = new UpstreamWait(state, scheduler, "s", 1);
        warm.onUnreachable(scheduler.nanos());
        assertThat(wait.blocked()).isTrue();
        assertThat(wait.expectedMillis()).isLessThan(1_000.0);
        warm.onReport(SelfReports.pause(true, 0), false, false, scheduler.nanos());
        assertThat(wait.expectedMillis()).isAtLeast(10_000.0);
    }

    private UpstreamState listed(String id, long coldLeftMillis) {
        state.registry()
                .applyEntry(
                        new Upstream(id, "s", URI.create("http://127.0.0.1:1"), "d", "v1", 8, false, 1, coldLeftMillis),
                        scheduler.nanos());
        return state.registry().find(id).orElseThrow();
    }

    private UpstreamState paused(String id) {
        final UpstreamState upstream = listed(id, 0);
        upstream.onReport(PAUSE, true, true, scheduler.nanos());
        upstream.onNotRun(scheduler.nanos());
        return upstream;
    }
}
