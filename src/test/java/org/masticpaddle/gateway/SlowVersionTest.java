package org.masticpaddle.gateway;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.masticpaddle.control.RolloutProgress;
import org.masticpaddle.fleet.Upstream;

import static com.google.common.truth.Truth.assertThat;

/** Guards against rolling out a version that answers several times slower than the one it replaces. */
class SlowVersionTest {
    private static final long STEP_MILLIS = 100;
    /** Requests a second at each gateway. */
    private static final int REQUESTS_PER_SECOND = 20;
    /** Time between two events of a stream at the expected pace. */
    private static final long EVENT_MILLIS = 20;
    /** Time from the order within which the new version may start all of its answers fast. */
    private static final long RUN_MILLIS = RolloutDeployment.TIME_LIMIT.toMillis() + 2_000;

    private final RolloutDeployment deployment = new RolloutDeployment(3);
    private final List<Stream> streams = new ArrayList<>();
    private int requests;
    private int requestsOnNewVersion;

    @Test
    void shouldRollBackVersionWhoseStreamsSlowDownAfterTheirFirstEvent() {
        simulate(8, 20);
        assertRolledBackWithinExposure();
    }

    @Test
    void shouldRollBackVersionWhoseLongStreamsHaveNotEnded() {
        simulate(8, 10_000);
        assertRolledBackWithinExposure();
    }

    @Test
    void shouldRollBackVersionThatNeverBeginsToAnswer() {
        simulate(1_000, 20);
        assertRolledBackWithinExposure();
    }

    @Test
    void shouldCompleteVersionWithTheExpectedPace() {
        simulate(1, 20);
        assertThat(deployment.sharedLog().statuses())
                .containsExactly(RolloutProgress.RUNNING, RolloutProgress.COMPLETED)
                .inOrder();
    }

    @Test
    void shouldLoadEachCanaryUpstreamLikeAnOldOne() {
        final List<Upstream> newUpstreams = new ArrayList<>(List.of(RolloutDeployment.NEW));
        for (int number = 1; number < 8; number++) {
            newUpstreams.add(deployment.addNewUpstream("new-" + number));
        }
        deployment.advance(1_000);
        deployment.orderEverywhere();
        deployment.advance(3_000);
        final Set<Upstream> used = new HashSet<>();
        for (int number = 0; number < 1_000; number++) {
            final Optional<String> session = Optional.of("session-" + number);
            for (final RolloutCoordinator gateway : deployment.gateways()) {
                final VersionRouter.EligibleUpstreams eligible = gateway.eligibleUpstreams("s", session, "x");
                newUpstreams.stream().filter(eligible.preferred()).forEach(used::add);
            }
        }
        assertThat(used).hasSize(1);
    }

    private void assertRolledBackWithinExposure() {
        assertThat(deployment.sharedLog().statuses())
                .containsExactly(RolloutProgress.RUNNING, RolloutProgress.ROLLED_BACK)
                .inOrder();
        assertThat(requestsOnNewVersion).isLessThan((int) (0.15 * requests) + 30);
    }

    /**
     * Replays streams of a steady load; on the new version every second one is slower.
     *
     * @param slowdown factor of the time between two events; from 100 on the answer never begins
     * @param events length of the streams
     */
    private void simulate(int slowdown, int events) {
        deployment.advance(1_000);
        deployment.orderEverywhere();
        for (long passed = 0; passed < RUN_MILLIS; passed += STEP_MILLIS) {
            for (int index = 0; index < deployment.gateways().size(); index++) {
                for (int count = 0; count < REQUESTS_PER_SECOND * STEP_MILLIS / 1_000; count++) {
                    start(index, slowdown, events);
                }
            }
            streams.removeIf(Stream::deliver);
            deployment.advance(STEP_MILLIS);
        }
    }

    private void start(int gatewayIndex, int slowdown, int events) {
        final String session = "session-" + requests;
        final Upstream upstream = deployment.choose(gatewayIndex, session);
        final boolean slow = upstream == RolloutDeployment.NEW && requestsOnNewVersion % 2 == 0;
        requests++;
        requestsOnNewVersion += upstream == RolloutDeployment.NEW ? 1 : 0;
        streams.add(new Stream(deployment.send(gatewayIndex, session, upstream), slow ? slowdown : 1, events));
    }

    /** Stream of events with a constant time between them. Not thread-safe. */
    private final class Stream {
        private final AttemptObserver observer;
        private final long startMillis = deployment.millis();
        private final int slowdown;
        private final int events;
        private long delivered;

        Stream(AttemptObserver observer, int slowdown, int events) {
            this.observer = observer;
            this.slowdown = slowdown;
            this.events = events;
        }

        /** Delivers the events that are due and returns whether the stream has ended. */
        boolean deliver() {
            final long due = slowdown >= 100
                    ? 0
                    : Math.min(events, (deployment.millis() - startMillis) / (EVENT_MILLIS * slowdown));
            if (due > delivered) {
                delivered = due;
                observer.onEvents((int) delivered);
            }
            if (delivered == events) {
                observer.onEnd(AttemptEnd.ANSWERED);
            }
            return delivered == events;
        }
    }
}
