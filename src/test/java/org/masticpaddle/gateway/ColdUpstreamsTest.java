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
    /** Target for the part of the rate that is used. */
    private static final double TARGET_USE = 0.7;
    /**
     * Largest part of the rate that 33 independent gateways with this traffic can use if they exceed the bound in one of a million
     * seconds, know their shares exactly and use every permit at once.
     */
    private static final double ATTAINABLE_BY_33 = 0.74;

    private static final int FLEET_OF_ATTAINABLE = 33;

    private static final double REQUESTS_PER_SECOND = 70;
    private static final double MIN_SUM_OF_SHARES = 0.6;
    private static final double MAX_SUM_OF_SHARES = 1.15;
    private static final int SAMPLES = 50;

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
    @CsvSource({"1,1", "4,2", "22,3", "22,5", "22,6", "33,4", "33,5", "33,6"})
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
        assertThat(used).isAtLeast(gateways < FLEET_OF_ATTAINABLE ? TARGET_USE : TARGET_USE * ATTAINABLE_BY_33);
    }

    /** Shares that add up to less leave a part of the bound unused; shares that add up to more may exceed it. */
    @ParameterizedTest
    @CsvSource({"4,1", "22,2", "33,3"})
    void shouldKnowSharesThatAddUpToTheWhole(int gateways, long seed) {
        final LimitedDeployment deployment = deployment(gateways, seed);
        deployment.run(2_000, REQUESTS_PER_SECOND);
        double sum = 0;
        double largest = 0;
        for (int count = 0; count < SAMPLES; count++) {
            deployment.run(100, REQUESTS_PER_SECOND);
            sum += deployment.sumOfShares();
            largest = Math.max(largest, deployment.sumOfShares());
        }
        assertThat(sum / SAMPLES).isAtLeast(MIN_SUM_OF_SHARES);
        assertThat(largest).isAtMost(MAX_SUM_OF_SHARES);
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
