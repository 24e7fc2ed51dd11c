package org.masticpaddle.claim;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.AfterContainer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against schedules of lost, late and duplicated messages, outages, pauses and restarts in which a key runs
 * twice, a request that ran is reported as not run, or a charge counts twice or is lost although a process that holds
 * it did not restart. The system property {@code masticpaddle.schedules} sets the number of schedules.
 */
class ClaimExplorationTest {
    private static final int TRIES = 100;
    private static final int SCHEDULES = Integer.getInteger("masticpaddle.schedules", 1_000);
    private static final int STEPS_PER_SCHEDULE = 500;
    private static final int MAX_SCHEDULES_PER_GUARD = 2_000;
    private static final Map<String, Integer> EVENT_COUNTS = new TreeMap<>();

    @Property(
            tries = TRIES,
            seed = "20261204",
            generation = GenerationMode.RANDOMIZED,
            edgeCases = EdgeCasesMode.NONE,
            shrinking = ShrinkingMode.OFF)
    void shouldKeepInvariantsInRandomSchedules(@ForAll long base) {
        for (int index = 0; index < Math.max(1, SCHEDULES / TRIES); index++) {
            final long seed = base + index;
            final ClaimSimulation simulation = new ClaimSimulation(seed, BrokenGuard.NONE);
            try {
                simulation.run(STEPS_PER_SCHEDULE);
            } catch (AssertionError e) {
                throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
            }
            simulation.eventCounts.forEach((event, count) -> EVENT_COUNTS.merge(event, count, Integer::sum));
        }
    }

    /** Guards against a simulation that passes because it never reaches the states in which a violation is possible. */
    @AfterContainer
    static void shouldReachEveryKindOfEvent() {
        System.out.println("claim exploration, " + SCHEDULES + " schedules: " + EVENT_COUNTS);
        assertThat(EVENT_COUNTS.keySet())
                .containsAtLeast(
                        "Won",
                        "Stands",
                        "BodyDiffers",
                        "DEADLINE",
                        "LEDGER_FULL",
                        "KeyRefused",
                        "run",
                        "not_run",
                        "retry",
                        "Sealed",
                        "Running",
                        "Answered",
                        "Unknown",
                        "SEALED",
                        "REPEATED",
                        "OTHER_INCARNATION",
                        "EXPIRED",
                        "FULL");
    }

    @ParameterizedTest
    @EnumSource(value = BrokenGuard.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void shouldDetectEachBrokenGuard(BrokenGuard brokenGuard) {
        Optional<String> violation = Optional.empty();
        long seed = 0;
        while (violation.isEmpty() && seed < MAX_SCHEDULES_PER_GUARD) {
            seed++;
            try {
                new ClaimSimulation(seed, brokenGuard).run(STEPS_PER_SCHEDULE);
            } catch (AssertionError e) {
                violation = Optional.of(e.getMessage());
            }
        }
        System.out.println(
                "without guard " + brokenGuard + ", seed " + seed + ": " + violation.orElse("nothing found"));
        assertWithMessage("violation without guard %s", brokenGuard)
                .that(violation)
                .isPresent();
    }
}
