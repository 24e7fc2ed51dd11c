package org.masticpaddle.gateway;

import java.util.OptionalDouble;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against gateways that together exceed the limit that an upstream states, whatever their number and whenever they start,
 * and against limits that are left unused.
 */
class SharedLimitTest {
    private static final long STABLE_MILLIS = 3_000;
    private static final long WINDOW_SECONDS = 4;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void shouldKeepLimitOverGateways(long seed) {
        final LimitedDeployment deployment = new LimitedDeployment(4, 6, seed);
        deployment.run(6_000, 60);
        deployment.limit(4, OptionalDouble.of(5.8));
        assertLimitKept(deployment, 4, 5.8, 19_000, 60);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void shouldKeepLimitSmallerThanNumberOfGateways(long seed) {
        final LimitedDeployment deployment = new LimitedDeployment(20, 12, seed);
        deployment.run(6_000, 70);
        deployment.limit(8, OptionalDouble.of(1.5));
        assertLimitKept(deployment, 8, 1.5, 25_000, 70);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void shouldKeepLimitWhenAllUpstreamsAreLimited(long seed) {
        final LimitedDeployment deployment = new LimitedDeployment(4, 6, seed);
        deployment.run(6_000, 60);
        deployment.limit(6, OptionalDouble.of(6));
        assertLimitKept(deployment, 6, 6, 20_000, 60);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void shouldKeepLimitWhileGatewaysStart(long seed) {
        final LimitedDeployment deployment = new LimitedDeployment(4, 6, seed);
        deployment.run(6_000, 60);
        deployment.limit(6, OptionalDouble.of(8));
        final long limitMillis = deployment.millis();
        deployment.run(6_000, 60);
        for (int index = 0; index < 4; index++) {
            deployment.restartGateway(index);
            deployment.run(4_000, 60);
        }
        assertWithinLimit(deployment, 6, 8, limitMillis);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void shouldNotSavePermitsWhileThereIsLittleTraffic(long seed) {
        final LimitedDeployment deployment = new LimitedDeployment(20, 6, seed);
        deployment.run(6_000, 30);
        deployment.limit(6, OptionalDouble.of(2));
        final long limitMillis = deployment.millis();
        deployment.run(10_000, 4);
        deployment.run(10_000, 60);
        assertWithinLimit(deployment, 6, 2, limitMillis);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void shouldServeStartedGatewayWhenAllUpstreamsAreLimited(long seed) {
        final LimitedDeployment deployment = new LimitedDeployment(4, 6, seed);
        deployment.run(6_000, 40);
        deployment.limit(6, OptionalDouble.of(8));
        deployment.run(8_000, 40);
        deployment.restartGateway(1);
        deployment.run(5_000, 40);
        deployment.resetCounts();
        deployment.run(10_000, 40);
        assertThat((double) deployment.rejected() / deployment.sent()).isAtMost(0.1);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void shouldUseUpstreamAgainWhenItsLimitEnds(long seed) {
        final LimitedDeployment deployment = new LimitedDeployment(4, 6, seed);
        deployment.run(6_000, 60);
        final long before = deployment.arrivals(0, 2_000, 6_000);
        deployment.limit(4, OptionalDouble.of(2));
        deployment.run(10_000, 60);
        deployment.limit(4, OptionalDouble.empty());
        deployment.run(8_000, 60);
        final long now = deployment.millis();
        assertThat((double) deployment.arrivals(0, now - 4_000, now)).isAtLeast(0.6 * before);
    }

    /** Runs with limited engines and checks that they get no more than is allowed and, together, at least half of it. */
    private static void assertLimitKept(
            LimitedDeployment deployment, int engines, double limit, long durationMillis, double requestsPerSecond) {
        final long limitMillis = deployment.millis();
        deployment.run(durationMillis, requestsPerSecond);
        assertWithinLimit(deployment, engines, limit, limitMillis);
        long used = 0;
        for (int engine = 0; engine < engines; engine++) {
            used += deployment.arrivals(engine, limitMillis + STABLE_MILLIS, limitMillis + durationMillis);
        }
        final double permitted = engines * limit * (durationMillis - STABLE_MILLIS) / 1_000;
        assertThat(used / permitted).isAtLeast(0.5);
    }

    private static void assertWithinLimit(LimitedDeployment deployment, int engines, double limit, long limitMillis) {
        for (int engine = 0; engine < engines; engine++) {
            assertThat((double) deployment.maxKnownArrivals(engine, limitMillis + STABLE_MILLIS))
                    .isAtMost(1.5 * limit * WINDOW_SECONDS + 5);
        }
    }
}
