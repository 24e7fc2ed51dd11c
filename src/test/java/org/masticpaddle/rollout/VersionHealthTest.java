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

    /** Guards against a version that turns bad but still gets requests, and against one that never recovers from a stop. */
    @Test
    void shouldStopBadVersionAndRestoreItAfterProbation() {
        run(3_000, 0.9);
        assertThat(health.phase()).isEqualTo(Phase.HEALTHY);
        final int requestsUntilStop = run(3_000, 0.4);
        assertThat(health.phase()).isEqualTo(Phase.STOPPED);
        assertThat(requestsUntilStop).isLessThan(100);
        assertThat(health.acceptsWork("s")).isFalse();
        now += VersionHealth.FIRST_STOP_MILLIS;
        health = health.step(declared, observations, now);
        assertThat(health.phase()).isEqualTo(Phase.PROBATION);
        assertThat(countAcceptedSessions()).isIn(com.google.common.collect.Range.closed(100, 300));
        now += Observations.INTERVAL_MILLIS;
        run(500, 0.9);
        assertThat(health.phase()).isEqualTo(Phase.HEALTHY);
    }

    /** Guards against a version that leaves probation while it is still bad, or enters it as soon as after the first stop. */
    @Test
    void shouldDoubleStopWhenProbationFails() {
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

    /** Guards against a false alarm that stops a good version in a long run. */
    @Test
    void shouldNotStopGoodVersion() {
        run(20_000, 0.9);
        assertThat(health.phase()).isEqualTo(Phase.HEALTHY);
    }

    /** Guards against an entry that still uses a stopped version because it did not observe the fault itself. */
    @Test
    void shouldMergeStopOfAnotherEntry() {
        final VersionHealth stopped = new VersionHealth(OLD, Phase.STOPPED, 5, 5, 1);
        assertThat(health.merge(stopped)).isEqualTo(stopped);
        assertThat(stopped.merge(health)).isEqualTo(stopped);
        final VersionHealth probation = new VersionHealth(OLD, Phase.PROBATION, 9, 5, 1);
        assertThat(probation.merge(stopped)).isEqualTo(probation);
    }

    private int run(int requests, double quality) {
        final Phase phaseBefore = health.phase();
        for (int request = 0; request < requests; request++) {
            now += 100;
            observations.recordRequest(OLD, random.nextDouble() < 0.01, random.nextDouble() < 0.05, now);
            observations.recordRating(OLD, random.nextDouble() < quality ? 1 : 0, now);
            health = health.step(declared, observations, now);
            if (health.phase() != phaseBefore) {
                return request + 1;
            }
        }
        return requests;
    }

    private int countAcceptedSessions() {
        int count = 0;
        for (int session = 0; session < 10_000; session++) {
            count += health.acceptsWork("s" + session) ? 1 : 0;
        }
        return count;
    }
}
