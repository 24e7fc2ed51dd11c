package org.masticpaddle.gateway;

import java.util.function.Predicate;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against organisations and kinds of request that pay for the load of another one, on any number of gateways.
 *
 * <p>The bound of 0.05 is the part of the requests by which a kind of request may be served less often than another one.
 */
class FairAdmissionTest {
    private static final double TOLERANCE = 0.05;
    private static final long START_MILLIS = 4_000;
    private static final long END_MILLIS = 12_000;
    private static final int SMALL_ORGANISATIONS = 20;
    private static final Predicate<PressedDeployment.Kind> SMALL =
            kind -> !kind.organisation().equals("large");

    private static final PressedDeployment.Capacity PLAIN = new PressedDeployment.Capacity(3, 6, 24);
    private static final PressedDeployment.Kind LOOKUP =
            new PressedDeployment.Kind("lookup", "", 1, "", 199, 1_034, 43, 43);

    private static final PressedDeployment.Capacity ENGINES = new PressedDeployment.Capacity(4, 16, 134);
    private static final PressedDeployment.Kind URGENT =
            new PressedDeployment.Kind("urgent", "", 0, "m", 1_000, 8_000, 40, 400);
    private static final PressedDeployment.Kind RELAXED =
            new PressedDeployment.Kind("relaxed", "", 2, "m", 1_500, 8_000, 40, 400);

    @ParameterizedTest
    @CsvSource({"1, 1", "1, 2", "4, 1", "4, 2", "21, 1", "21, 2"})
    void shouldServeSmallOrganisationsOfPlainServiceAsWithoutFlood(int gateways, long seed) {
        final double calm = inTimeOfSmall(AdmissionMode.FAIR, gateways, PLAIN, LOOKUP, 250, 1, seed);
        final double flooded = inTimeOfSmall(AdmissionMode.FAIR, gateways, PLAIN, LOOKUP, 250, 6, seed);
        final double immediate = inTimeOfSmall(AdmissionMode.IMMEDIATE, gateways, PLAIN, LOOKUP, 250, 6, seed);
        assertThat(flooded).isAtLeast(calm - TOLERANCE);
        assertThat(immediate).isLessThan(calm - TOLERANCE);
    }

    @ParameterizedTest
    @CsvSource({"1, 1", "1, 2", "4, 1", "4, 2", "21, 1", "21, 2"})
    void shouldServeSmallOrganisationsOfEnginesAsWithoutFlood(int gateways, long seed) {
        final double calm = inTimeOfSmall(AdmissionMode.FAIR, gateways, ENGINES, URGENT, 100, 1, seed);
        final double flooded = inTimeOfSmall(AdmissionMode.FAIR, gateways, ENGINES, URGENT, 100, 6, seed);
        final double immediate = inTimeOfSmall(AdmissionMode.IMMEDIATE, gateways, ENGINES, URGENT, 100, 6, seed);
        assertThat(flooded).isAtLeast(calm - TOLERANCE);
        assertThat(immediate).isLessThan(calm - TOLERANCE);
    }

    @ParameterizedTest
    @CsvSource({"1, 1", "4, 1", "21, 1", "21, 2"})
    void shouldKeepUrgentKindAndRecoverFromBurstOfOtherKind(int gateways, long seed) {
        final double calm = bursting(AdmissionMode.FAIR, gateways, 1, seed).inTime(kind -> true, 0, END_MILLIS);
        final PressedDeployment burst = bursting(AdmissionMode.FAIR, gateways, 2.4, seed);
        final Predicate<PressedDeployment.Kind> urgent = kind -> kind.rank() == 0;
        assertThat(burst.inTime(urgent, 4_000, 8_000)).isAtLeast(calm - TOLERANCE);
        assertThat(burst.served(urgent, 4_000, 8_000))
                .isAtLeast(burst.served(urgent.negate(), 4_000, 8_000) - TOLERANCE);
        assertThat(burst.inTime(kind -> true, 9_000, END_MILLIS)).isAtLeast(calm - TOLERANCE);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 4, 21})
    void shouldPlaceAsWithoutAdmissionWhileThereIsNoPressure(int gateways) {
        final PressedDeployment fair = flooded(AdmissionMode.FAIR, gateways, PLAIN, LOOKUP, 100, 1, 1);
        final PressedDeployment immediate = flooded(AdmissionMode.IMMEDIATE, gateways, PLAIN, LOOKUP, 100, 1, 1);
        assertThat(fair.rejected()).isEqualTo(0);
        assertThat(fair.attempts()).isEqualTo(immediate.attempts());
    }

    @ParameterizedTest
    @CsvSource({"1, 1", "1, 2", "4, 1", "4, 2", "21, 1", "21, 2"})
    void shouldAnswerNoFewerInTimeInAllAndTheFloodAtItsUsualRate(int gateways, long seed) {
        final PressedDeployment fair = flooded(AdmissionMode.FAIR, gateways, PLAIN, LOOKUP, 250, 6, seed);
        final PressedDeployment immediate = flooded(AdmissionMode.IMMEDIATE, gateways, PLAIN, LOOKUP, 250, 6, seed);
        assertThat(fair.inTime(kind -> true, START_MILLIS, END_MILLIS))
                .isAtLeast(immediate.inTime(kind -> true, START_MILLIS, END_MILLIS));
        assertThat(fair.inTime(SMALL.negate(), START_MILLIS, END_MILLIS)).isAtLeast(1.0 / 6);
    }

    private static double inTimeOfSmall(
            AdmissionMode mode,
            int gateways,
            PressedDeployment.Capacity capacity,
            PressedDeployment.Kind kind,
            double requestsPerSecond,
            double factor,
            long seed) {
        final PressedDeployment deployment = flooded(mode, gateways, capacity, kind, requestsPerSecond, factor, seed);
        assertThat(deployment.notEndedOnce()).isEqualTo(0);
        if (mode == AdmissionMode.FAIR) {
            assertThat(deployment.rejectedInVain()).isEqualTo(0);
            if (gateways <= 4) {
                // With more gateways, the last report that one has received may be older than a service time.
                assertThat(deployment.rejectedWithFreeSlot()).isEqualTo(0);
            }
            assertThat(deployment.maxHeldFraction()).isAtMost(0.125);
        }
        return deployment.inTime(SMALL, START_MILLIS, END_MILLIS);
    }

    /** Runs a deployment in which one organisation has a fifth of the usual load and sends a multiple of that for a time. */
    private static PressedDeployment flooded(
            AdmissionMode mode,
            int gateways,
            PressedDeployment.Capacity capacity,
            PressedDeployment.Kind kind,
            double requestsPerSecond,
            double factor,
            long seed) {
        final PressedDeployment deployment = new PressedDeployment(mode, gateways, capacity, seed);
        for (int index = 0; index < SMALL_ORGANISATIONS; index++) {
            deployment.load(kind.of("small-" + index), 0.8 * requestsPerSecond / SMALL_ORGANISATIONS, 0, END_MILLIS);
        }
        deployment.load(kind.of("large"), 0.2 * requestsPerSecond, 0, START_MILLIS);
        deployment.load(kind.of("large"), factor * 0.2 * requestsPerSecond, START_MILLIS, END_MILLIS);
        deployment.runUntil(END_MILLIS + 20_000);
        return deployment;
    }

    /** Runs a deployment of two kinds of request, of which the less urgent one has a burst of four seconds. */
    private static PressedDeployment bursting(AdmissionMode mode, int gateways, double factor, long seed) {
        final PressedDeployment deployment = new PressedDeployment(mode, gateways, ENGINES, seed);
        for (int index = 0; index < SMALL_ORGANISATIONS; index++) {
            final String organisation = "small-" + index;
            deployment.load(URGENT.of(organisation), 40.0 / SMALL_ORGANISATIONS, 0, END_MILLIS);
            deployment.load(RELAXED.of(organisation), 70.0 / SMALL_ORGANISATIONS, 0, 4_000);
            deployment.load(RELAXED.of(organisation), factor * 70.0 / SMALL_ORGANISATIONS, 4_000, 8_000);
            deployment.load(RELAXED.of(organisation), 70.0 / SMALL_ORGANISATIONS, 8_000, END_MILLIS);
        }
        deployment.runUntil(END_MILLIS + 20_000);
        return deployment;
    }
}
