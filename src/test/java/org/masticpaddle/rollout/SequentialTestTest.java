package org.masticpaddle.rollout;

import org.apache.commons.rng.UniformRandomProvider;
import org.junit.jupiter.api.Test;
import org.masticpaddle.rollout.SequentialTest.Verdict;

import static com.google.common.truth.Truth.assertThat;
import static org.masticpaddle.rollout.RolloutFixtures.BASELINE;

class SequentialTestTest {
    /** Guards against more than 1 false alarm in 100 rollouts when the test is evaluated after each request. */
    @Test
    void shouldRarelyRaiseFalseAlarm() {
        int alarms = 0;
        for (int run = 0; run < 500; run++) {
            final UniformRandomProvider random = RolloutFixtures.random(run);
            HealthCounts counts = HealthCounts.NONE;
            for (int request = 0; request < 2_000; request++) {
                counts = counts.plus(RolloutFixtures.sampleCounts(random, 1, 0.9, 0.01, 0.05));
                if (SequentialTest.decide(counts, BASELINE) == Verdict.BAD) {
                    alarms++;
                    break;
                }
            }
        }
        assertThat(alarms).isAtMost(5);
    }

    /** Guards against missing a fault in a single measure, for example because the other measures hide it. */
    @Test
    void shouldDetectFaultInEachMeasure() {
        final double[][] faults = {{0.5, 0.01, 0.05}, {0.9, 0.3, 0.05}, {0.9, 0.01, 0.5}};
        for (final double[] fault : faults) {
            final HealthCounts counts =
                    RolloutFixtures.sampleCounts(RolloutFixtures.random(7), 60, fault[0], fault[1], fault[2]);
            assertThat(SequentialTest.decide(counts, BASELINE)).isEqualTo(Verdict.BAD);
        }
    }

    /** Guards against a stage that advances without evidence, for example while the rating service is unavailable. */
    @Test
    void shouldFindVersionHealthyOnlyWithEvidence() {
        assertThat(SequentialTest.decide(HealthCounts.NONE, BASELINE)).isEqualTo(Verdict.UNDECIDED);
        assertThat(SequentialTest.decide(new HealthCounts(1_000, 8, 40, 0, 0), BASELINE))
                .isEqualTo(Verdict.UNDECIDED);
        assertThat(SequentialTest.decide(RolloutFixtures.healthyCounts(), BASELINE))
                .isEqualTo(Verdict.HEALTHY);
    }
}
