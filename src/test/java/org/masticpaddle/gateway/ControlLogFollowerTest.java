package org.masticpaddle.gateway;

import java.net.URI;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.masticpaddle.control.LogStream;
import org.masticpaddle.control.OperatorRecord;
import org.masticpaddle.decisions.DecisionLog;
import org.masticpaddle.fleet.Upstream;
import org.masticpaddle.kernel.FakeScheduler;

import static com.google.common.truth.Truth.assertThat;

/** Guards against a gateway that knows the upstreams late after an outage of the log, or calls it often during one. */
class ControlLogFollowerTest {
    private static final long OUTAGE_MILLIS = 20_000;
    /** Longest backoff of the operator's stream and a response. */
    private static final long RECOVERY_MILLIS = 420;

    private final FakeScheduler scheduler = new FakeScheduler();
    private final FakeStreams streams = new FakeStreams(scheduler);
    private final GatewayState state =
            new GatewayState(RolloutDeployment.BOUNDS, RandomSource.XO_RO_SHI_RO_128_PP.create(1L));
    private int timesAvailable;

    @BeforeEach
    void startFollower() {
        new ControlLogFollower(
                        state,
                        streams,
                        new TextControlCodec(),
                        scheduler,
                        RandomSource.XO_RO_SHI_RO_128_PP.create(1L),
                        new DecisionLog("g", () -> 0, text -> {}),
                        new ControlLogFollower.ChangeListener() {
                            @Override
                            public void upstreamListed(Upstream upstream) {}

                            @Override
                            public void upstreamClosed(URI origin) {}

                            @Override
                            public void rolloutRecord(OperatorRecord order, long offset) {}

                            @Override
                            public void orderHistoryReplaced() {}

                            @Override
                            public void ordersListed() {}

                            @Override
                            public void ordersSettled() {}

                            @Override
                            public void logAvailable() {
                                timesAvailable++;
                            }
                        })
                .start();
        scheduler.advance(1_000);
    }

    @Test
    void shouldKnowNewUpstreamsSoonAfterALongOutage() {
        streams.setUnavailable(true);
        scheduler.advance(OUTAGE_MILLIS);
        streams.log(LogStream.UPSTREAMS).put("upstream-a", "a");
        streams.setUnavailable(false);
        scheduler.advance(RECOVERY_MILLIS);
        assertThat(state.registry().find("upstream-a")).isPresent();
        assertThat(timesAvailable).isEqualTo(2);
    }

    @Test
    void shouldCallTheLogRarelyForTheListDuringAnOutage() {
        streams.setUnavailable(true);
        scheduler.advance(OUTAGE_MILLIS / 2);
        final int requests = streams.log(LogStream.UPSTREAMS).requests();
        scheduler.advance(OUTAGE_MILLIS / 2);
        final long backoffMillis = RolloutDeployment.BOUNDS
                .storeCadence()
                .upstreamList()
                .maxBackoff()
                .toMillis();
        assertThat(streams.log(LogStream.UPSTREAMS).requests() - requests)
                .isAtMost((int) (OUTAGE_MILLIS / 2 / (backoffMillis / 2)) + 1);
    }
}
