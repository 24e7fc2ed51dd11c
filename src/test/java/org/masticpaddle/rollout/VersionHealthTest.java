package org.masticpaddle.rollout;

import org.apache.commons.rng.UniformRandomProvider;
import org.junit.jupiter.api.Test;
import org.masticpaddle.document.ModelVersion;
import org.masticpaddle.rollout.VersionHealth.Phase;

import static com.google.common.truth.Truth.assertThat;
import static org.masticpaddle.rollout.RolloutFixtures.OLD;

class VersionHealthTest {
    private final ModelVersion declared = RolloutFixtures.version(OLD);
    private final Observations observations = new Observations("a");
    private final UniformRandomProvider random = RolloutFixtures.random(20261204);
    private VersionHealth health = VersionHealth.initial(OLD, 0);
    private long now;

    /** Guards against a version that turns bad keeping its work, and against one that is never tried again. */
    @Test
    void shouldStopABadVersionAndTakeItBackAfterProbation() {
        run(3_000, 0.9);
        assertThat(health.phase()).isEqualTo(Phase.HEALTHY);
        final int exposed = run(3_000, 0.4);
        assertThat(health.phase()).isEqualTo(Phase.STOPPED);
        assertThat(exposed).isLessThan(100);
        assertThat(health.acceptsWork("s")).isFalse();
        now += VersionHealth.FIRST_STOP_MILLIS;
        health = health.step(declared, observations, now);
        assertThat(health.phase()).isEqualTo(Phase.PROBATION);
        assertThat(taken()).isIn(com.google.common.collect.Range.closed(100, 300));
        now += Observations.INTERVAL_MILLIS;
        run(500, 0.9);
        assertThat(health.phase()).isEqualTo(Phase.HEALTHY);
    }

    /** Guards against a version that is still bad leaving probation, or being tried as often as before. */
    @Test
    void shouldStopLongerWhenProbationFails() {
        run(1_000, 0.9);
        run(1_000, 0.4);
        now += VersionHealth.FIRST_STOP_MILLIS;
        health = health.step(declared, observations, now);
        now += Observations.INTERVAL_MILLIS;
        run(500, 0.4);
        assertThat(health.phase()).isEqualTo(Phase.STOPPED);
        assertThat(health.stops()).isEqualTo(2);
        now += VersionHealth.FIRST_STOP_MILLIS;
        assertThat(health.step(declared, observations, now).phase()).isEqualTo(Phase.STOPPED);
    }

    /** Guards against a good version being stopped by chance over a long time. */
    @Test
    void shouldNotStopAGoodVersion() {
        run(20_000, 0.9);
        assertThat(health.phase()).isEqualTo(Phase.HEALTHY);
    }

    /** Guards against an entry that missed the stop sending new work for long. */
    @Test
    void shouldTakeOverTheStopOfAnotherEntry() {
        final VersionHealth stopped = new VersionHealth(OLD, Phase.STOPPED, 5, 5, 1);
        assertThat(health.merge(stopped)).isEqualTo(stopped);
        assertThat(stopped.merge(health)).isEqualTo(stopped);
        final VersionHealth probation = new VersionHealth(OLD, Phase.PROBATION, 9, 5, 1);
        assertThat(probation.merge(stopped)).isEqualTo(probation);
    }

    private int run(int requests, double quality) {
        final Phase before = health.phase();
        for (int request = 0; request < requests; request++) {
            now += 100;
            observations.recordRequest(OLD, random.nextDouble() < 0.01, random.nextDouble() < 0.05, now);
            observations.recordRating(OLD, random.nextDouble() < quality ? 1 : 0, now);
            health = health.step(declared, observations, now);
            if (health.phase() != before) {
                return request + 1;
            }
        }
        return requests;
    }

    private int taken() {
        int count = 0;
        for (int session = 0; session < 10_000; session++) {
            count += health.acceptsWork("s" + session) ? 1 : 0;
        }
        return count;
    }
}
