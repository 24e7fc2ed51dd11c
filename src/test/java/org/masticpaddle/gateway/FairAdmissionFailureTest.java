package org.masticpaddle.gateway;

import java.util.function.Consumer;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/** Guards against organisations that pay for the load of another one while gateways or upstreams fail. */
class FairAdmissionFailureTest {
    private static final double TOLERANCE = 0.05;
    private static final long START_MILLIS = 4_000;
    private static final long FAILURE_MILLIS = 7_000;
    private static final long END_MILLIS = 12_000;
    private static final double REQUESTS_PER_SECOND = 300;
    private static final PressedDeployment.Capacity PLAIN = new PressedDeployment.Capacity(4, 6, 24);
    private static final PressedDeployment.Kind LOOKUP =
            new PressedDeployment.Kind("lookup", "", 1, "", 199, 1_034, 43, 43);

    @ParameterizedTest
    @CsvSource({"4, 1", "4, 2", "21, 1", "21, 2"})
    void shouldServeOthersWhileGatewaysThatKnowNothingTakeOver(int gateways, long seed) {
        assertOthersServed(AdmissionMode.FAIR, gateways, seed, deployment -> {
            for (int index = 0; index < gateways; index += 2) {
                deployment.restartGateway(index, FAILURE_MILLIS);
            }
        });
    }

    @ParameterizedTest
    @CsvSource({"1, 1", "1, 2", "4, 1", "4, 2", "21, 1", "21, 2"})
    void shouldServeOthersWhenAnUpstreamIsLost(int gateways, long seed) {
        assertOthersServed(
                AdmissionMode.FAIR, gateways, seed, deployment -> deployment.crashUpstream(0, FAILURE_MILLIS));
    }

    @ParameterizedTest
    @CsvSource({"1, 1", "4, 1", "21, 1"})
    void shouldServeOthersBetterAlsoIfUpstreamsReportNoLoads(int gateways, long seed) {
        final double fair = othersInTime(AdmissionMode.FAIR, gateways, 6, seed, PressedDeployment::hideLoads);
        final double immediate = othersInTime(AdmissionMode.IMMEDIATE, gateways, 6, seed, PressedDeployment::hideLoads);
        assertThat(fair).isAtLeast(immediate + TOLERANCE);
    }

    private static void assertOthersServed(
            AdmissionMode mode, int gateways, long seed, Consumer<PressedDeployment> failure) {
        final double calm = othersInTime(mode, gateways, 1, seed, failure);
        final double flooded = othersInTime(mode, gateways, 6, seed, failure);
        final double immediate = othersInTime(AdmissionMode.IMMEDIATE, gateways, 6, seed, failure);
        assertThat(flooded).isAtLeast(calm - TOLERANCE);
        assertThat(immediate).isLessThan(calm - TOLERANCE);
    }

    private static double othersInTime(
            AdmissionMode mode, int gateways, double factor, long seed, Consumer<PressedDeployment> failure) {
        final PressedDeployment deployment = new PressedDeployment(mode, gateways, PLAIN, seed);
        failure.accept(deployment);
        for (int index = 0; index < 20; index++) {
            deployment.load(LOOKUP.of("small-" + index), 0.8 * REQUESTS_PER_SECOND / 20, 0, END_MILLIS);
        }
        deployment.load(LOOKUP.of("large"), 0.2 * REQUESTS_PER_SECOND, 0, START_MILLIS);
        deployment.load(LOOKUP.of("large"), factor * 0.2 * REQUESTS_PER_SECOND, START_MILLIS, END_MILLIS);
        deployment.runUntil(END_MILLIS + 20_000);
        assertThat(deployment.notEndedOnce()).isEqualTo(0);
        return deployment.inTime(kind -> !kind.organisation().equals("large"), START_MILLIS, END_MILLIS);
    }
}
