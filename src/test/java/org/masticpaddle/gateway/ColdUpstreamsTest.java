package org.masticpaddle.gateway;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against gateways that together send a cold upstream more requests in a second than it can bear, and against a service
 * that stands still because all of its upstreams are cold.
 */
class ColdUpstreamsTest {
    private static final double COLD_SECONDS = 3;
    private static final double COLD_PER_SECOND = 9.8;
    private static final double MAX_IN_SECOND = 1.5 * COLD_PER_SECOND + 5;
    private static final int ENGINES = 12;
    /** Target for the part of the rate that is used. Many gateways with uneven traffic use at least half of it. */
    private static final double TARGET_USE = 0.7;

    private static final double REQUESTS_PER_SECOND = 70;

    @ParameterizedTest
    @CsvSource({"1,1", "4,2", "22,3", "22,4", "33,5", "100,6", "300,7"})
    void shouldKeepLimitWhenSomeTurnCold(int gateways, long seed) {
        final LimitedDeployment deployment = deployment(gateways, seed);
        deployment.turnCold(0, 4, 6_000);
        final long coldMillis = deployment.millis();
        deployment.run(6_000, REQUESTS_PER_SECOND);
        assertWithinLimit(deployment, 0, 4, coldMillis);
    }

    @ParameterizedTest
    @CsvSource({"4,1", "22,2", "22,3", "300,4"})
    void shouldKeepLimitWhenEnginesStartWithoutSayingSo(int gateways, long seed) {
        final LimitedDeployment deployment = deployment(gateways, seed);
        deployment.restartEngines(0, 4);
        final long startMillis = deployment.millis();
        // A burst follows.
        deployment.run((long) (COLD_SECONDS * 1_000), 3 * REQUESTS_PER_SECOND);
        assertWithinLimit(deployment, 0, 4, startMillis);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void shouldKeepLimitWhileGatewaysStartAndEnd(long seed) {
        final LimitedDeployment deployment = deployment(22, seed);
        deployment.turnCold(0, 12, 20_000);
        final long coldMillis = deployment.millis();
        deployment.run(3_000, 2 * REQUESTS_PER_SECOND);
        deployment.killGateways(11);
        deployment.run(3_000, 2 * REQUESTS_PER_SECOND);
        deployment.startGateways(60);
        deployment.run(6_000, 2 * REQUESTS_PER_SECOND);
        for (int index = 0; index < 30; index++) {
            deployment.restartGateway(index);
        }
        deployment.run(6_000, 2 * REQUESTS_PER_SECOND);
        assertWithinLimit(deployment, 0, 12, coldMillis);
    }

    @ParameterizedTest
    @CsvSource({"1,1", "4,2", "22,3", "33,4"})
    void shouldServeWithinLimitWhenAllTurnColdTogether(int gateways, long seed) {
        final LimitedDeployment deployment = deployment(gateways, seed);
        deployment.turnCold(0, ENGINES, 20_000);
        final long coldMillis = deployment.millis();
        deployment.run(4_000, 2 * REQUESTS_PER_SECOND);
        final long steadyMillis = deployment.millis();
        deployment.run(15_000, 2 * REQUESTS_PER_SECOND);
        assertWithinLimit(deployment, 0, ENGINES, coldMillis);
        long served = 0;
        for (int engine = 0; engine < ENGINES; engine++) {
            served += deployment.arrivals(engine, steadyMillis, deployment.millis());
        }
        final double used = served / (15 * ENGINES * COLD_PER_SECOND);
        assertThat(used).isAtLeast(gateways > 4 ? TARGET_USE / 2 : TARGET_USE);
    }

    /** A gateway that knows nothing of its share uses the warm upstreams only. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void shouldLeaveColdUpstreamsToGatewaysThatKnowTheirShare(long seed) {
        final LimitedDeployment deployment = new LimitedDeployment(1, ENGINES, seed, COLD_SECONDS, COLD_PER_SECOND);
        deployment.turnCold(0, 4, 1_000);
        // Too short for an answer, from which the gateway would learn its share.
        deployment.run(60, 200);
        for (int engine = 0; engine < 4; engine++) {
            assertThat(deployment.arrivals(engine, 0, deployment.millis())).isEqualTo(0);
        }
        assertThat(deployment.arrivals(4, 0, deployment.millis()) + deployment.arrivals(5, 0, deployment.millis()))
                .isGreaterThan(0);
    }

    private static LimitedDeployment deployment(int gateways, long seed) {
        final LimitedDeployment deployment =
                new LimitedDeployment(gateways, ENGINES, seed, COLD_SECONDS, COLD_PER_SECOND);
        deployment.run(6_000, REQUESTS_PER_SECOND);
        return deployment;
    }

    private static void assertWithinLimit(LimitedDeployment deployment, int from, int to, long millis) {
        for (int engine = from; engine < to; engine++) {
            assertWithMessage("engine %s", engine)
                    .that((double) deployment.maxArrivalsInSecond(engine, millis))
                    .isAtMost(MAX_IN_SECOND);
        }
    }
}
