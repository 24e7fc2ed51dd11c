package org.masticpaddle.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.masticpaddle.fleet.Upstream;

import static com.google.common.truth.Truth.assertThat;

/** Guards against sessions that change the version while a rollout does not require it. */
class SessionVersionTest {
    private static final int GATEWAYS = 6;
    private static final int SESSIONS = 600;
    private static final long SESSION_TIMEOUT_MILLIS = 5_000;
    private static final long REQUEST_MILLIS = 300;
    private static final long STEP_MILLIS = 100;
    /** Mean number of requests of all sessions in a step. */
    private static final int REQUESTS_PER_STEP = 25;

    private static final long ORDER_MILLIS = 8_000;
    private static final long FIRST_HALF_END_MILLIS = ORDER_MILLIS + RolloutDeployment.TIME_LIMIT.toMillis() / 2;

    private final RolloutDeployment deployment = new RolloutDeployment(GATEWAYS);
    private UniformRandomProvider random;
    private final Map<String, LastRequest> lastRequests = new HashMap<>();
    private final List<String> movedToNewVersionEarly = new ArrayList<>();
    private final List<String> movedBackToOldVersion = new ArrayList<>();

    @ParameterizedTest
    @ValueSource(longs = {31, 32, 33, 34, 35, 36, 37, 38})
    void shouldKeepActiveSessionsOnOldVersionInFirstHalf(long seed) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        simulate(FIRST_HALF_END_MILLIS);
        assertThat(movedToNewVersionEarly).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(longs = {31, 32, 33, 34, 35, 36, 37, 38})
    void shouldKeepSessionsOnGoodNewVersion(long seed) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        simulate(ORDER_MILLIS + RolloutDeployment.TIME_LIMIT.toMillis());
        assertThat(movedBackToOldVersion).isEmpty();
    }

    @Test
    void shouldNotUseVersionBeforeItsOrderIsKnown() {
        deployment.advance(1_000);
        deployment.addNewVersion();
        for (int number = 0; number < SESSIONS; number++) {
            final VersionRouter.EligibleUpstreams eligible =
                    deployment.gateways().get(0).eligibleUpstreams("s", Optional.of("session-" + number), "x");
            assertThat(eligible.preferred().test(RolloutDeployment.NEW)).isFalse();
            assertThat(eligible.permitted().test(RolloutDeployment.NEW)).isFalse();
        }
    }

    @Test
    void shouldPermitOnlyOldVersionForActiveSessionInFirstHalf() {
        deployment.advance(1_000);
        deployment.send(0, "a", RolloutDeployment.OLD).onEnd(AttemptEnd.ANSWERED);
        deployment.orderEverywhere();
        deployment.advance(2_500);
        final VersionRouter.EligibleUpstreams eligible =
                deployment.gateways().get(0).eligibleUpstreams("s", Optional.of("a"), "x");
        assertThat(eligible.permitted().test(RolloutDeployment.NEW)).isFalse();
    }

    /** Replays sessions whose requests arrive at random gateways; gateways know the order 100 ms after one another. */
    private void simulate(long untilMillis) {
        while (deployment.millis() < untilMillis) {
            final long sinceOrderMillis = deployment.millis() - ORDER_MILLIS;
            if (sinceOrderMillis == 0) {
                deployment.addNewVersion();
            }
            if (sinceOrderMillis >= 0 && sinceOrderMillis < GATEWAYS * STEP_MILLIS) {
                deployment.order((int) (sinceOrderMillis / STEP_MILLIS));
            }
            for (int count = 0; count < REQUESTS_PER_STEP; count++) {
                send("session-" + random.nextInt(SESSIONS), random.nextInt(GATEWAYS));
            }
            endRequests();
            deployment.advance(STEP_MILLIS);
        }
    }

    private void send(String session, int gatewayIndex) {
        final long now = deployment.millis();
        final LastRequest previous = lastRequests.get(session);
        if (previous != null && !previous.ended) {
            return;
        }
        final Upstream upstream = deployment.choose(gatewayIndex, session);
        if (previous != null && now - previous.endMillis < SESSION_TIMEOUT_MILLIS && previous.upstream != upstream) {
            if (upstream == RolloutDeployment.OLD) {
                movedBackToOldVersion.add(session + " at " + now);
            } else if (now < FIRST_HALF_END_MILLIS) {
                movedToNewVersionEarly.add(session + " at " + now);
            }
        }
        lastRequests.put(
                session,
                new LastRequest(upstream, now + REQUEST_MILLIS, deployment.send(gatewayIndex, session, upstream)));
    }

    private void endRequests() {
        for (final LastRequest request : lastRequests.values()) {
            if (!request.ended && deployment.millis() >= request.endMillis) {
                request.ended = true;
                request.observer.onEnd(AttemptEnd.ANSWERED);
            }
        }
    }

    /** Last request of a session. Not thread-safe. */
    private static final class LastRequest {
        private final Upstream upstream;
        private final long endMillis;
        private final AttemptObserver observer;
        private boolean ended;

        LastRequest(Upstream upstream, long endMillis, AttemptObserver observer) {
            this.upstream = upstream;
            this.endMillis = endMillis;
            this.observer = observer;
        }
    }
}
