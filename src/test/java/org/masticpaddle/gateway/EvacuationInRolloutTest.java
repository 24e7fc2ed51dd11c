package org.masticpaddle.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.masticpaddle.fleet.Upstream;

import static com.google.common.truth.Truth.assertThat;

/** Guards against a canary that is without upstreams, or a share of the new version that grows, beside an evacuation. */
class EvacuationInRolloutTest {
    private static final int UPSTREAMS = 12;
    private static final int SESSIONS = 400;

    private final RolloutDeployment deployment = new RolloutDeployment(2);
    private final List<Upstream> newUpstreams = new ArrayList<>();

    @Test
    void shouldMoveTheCanaryToTheUpstreamsThatRemain() {
        for (int index = 0; index < UPSTREAMS; index++) {
            newUpstreams.add(deployment.addNewUpstream("new-" + index, "domain-" + index % 3));
        }
        deployment.order(0);
        deployment.order(1);
        while (sessionsOnNewVersion(0).isEmpty()) {
            assertThat(deployment.millis()).isLessThan(RolloutDeployment.TIME_LIMIT.toMillis());
            deployment.advance(100);
        }
        final List<String> sessions = sessionsOnNewVersion(0);
        final Upstream canary = canaries(0, sessions.get(0)).get(0);

        deployment.evacuate(canary.failureDomain(), 9);
        assertThat(sessionsOnNewVersion(0)).isEqualTo(sessions);
        assertThat(sessionsOnNewVersion(1)).isEqualTo(sessions);
        final List<Upstream> remaining = canaries(0, sessions.get(0));
        assertThat(remaining).isNotEmpty();
        assertThat(canaries(1, sessions.get(0))).isEqualTo(remaining);
        remaining.forEach(upstream -> assertThat(upstream.failureDomain()).isNotEqualTo(canary.failureDomain()));
    }

    private List<String> sessionsOnNewVersion(int gateway) {
        return IntStream.range(0, SESSIONS)
                .mapToObj(number -> "session-" + number)
                .filter(session -> !canaries(gateway, session).isEmpty())
                .toList();
    }

    private List<Upstream> canaries(int gateway, String session) {
        final VersionRouter.EligibleUpstreams eligible =
                deployment.gateways().get(gateway).eligibleUpstreams("s", Optional.of(session), "request");
        return newUpstreams.stream().filter(eligible.preferred()).toList();
    }
}
