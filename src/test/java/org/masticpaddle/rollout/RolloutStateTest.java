package org.masticpaddle.rollout;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.apache.commons.rng.UniformRandomProvider;
import org.junit.jupiter.api.Test;
import org.masticpaddle.document.Rollout;
import org.masticpaddle.document.Rollout.State;

import static com.google.common.truth.Truth.assertThat;
import static org.masticpaddle.rollout.RolloutFixtures.bad;
import static org.masticpaddle.rollout.RolloutFixtures.evidence;
import static org.masticpaddle.rollout.RolloutFixtures.healthy;

class RolloutStateTest {
    private final Rollout running = RolloutFixtures.rollout(State.RUNNING);

    /** Guards against a share that falls while nothing is wrong, or grows by more than one stage at once. */
    @Property(tries = 500, seed = "20261204")
    void shouldGrowMonotonously(@ForAll long seed) {
        final UniformRandomProvider random = RolloutFixtures.random(seed);
        RolloutState state = RolloutState.initial("r", 0);
        long now = 0;
        for (int step = 0; step < 60; step++) {
            now += random.nextInt(60_000);
            final Rollout declared = RolloutFixtures.rollout(random.nextBoolean() ? State.RUNNING : State.PAUSED);
            final HealthCounts counts = random.nextInt(40) == 0 ? bad() : healthy();
            final RolloutState next = state.step(
                    declared, new RolloutEvidence(counts, RolloutFixtures.BASELINE, true, random.nextInt(11), 10), now);
            if (next.halted()) {
                assertThat(next.share(declared)).isEqualTo(0.0);
            } else {
                assertThat(next.share(declared)).isAtLeast(state.share(declared));
                assertThat(next.stage() - state.stage()).isIn(java.util.List.of(0, 1));
            }
            assertThat(state.halted() && !next.halted()).isFalse();
            state = next;
        }
    }

    /** Guards against a bad version that keeps its share until the stage is over, or comes back by itself. */
    @Test
    void shouldHaltInTheMiddleOfAStage() {
        final RolloutState halfway = begun().step(running, evidence(HealthCounts.NONE), 30_000);
        assertThat(halfway.share(running)).isEqualTo(0.01);
        final RolloutState halted = halfway.step(running, evidence(bad()), 30_001);
        assertThat(halted.share(running)).isEqualTo(0.0);
        assertThat(halted.step(running, evidence(healthy()), 900_000).share(running))
                .isEqualTo(0.0);
    }

    /** Guards against sessions sent to a version that hardly any upstream has loaded. */
    @Test
    void shouldWaitUntilEnoughUpstreamsHaveTheVersion() {
        RolloutState state = RolloutState.initial("r", 0);
        state = state.step(running, loaded(1), 1);
        assertThat(state.share(running)).isEqualTo(0.0);
        state = state.step(running, loaded(2), 2).step(running, loaded(2), 70_000);
        assertThat(state.share(running)).isEqualTo(0.1);
        state = state.step(running, loaded(4), 140_000);
        assertThat(state.share(running)).isEqualTo(0.1);
        assertThat(state.step(running, loaded(5), 150_000).share(running)).isEqualTo(0.5);
    }

    /** Guards against a stage that advances in a pause, without evidence or too early, and against lost progress. */
    @Test
    void shouldResumeAfterAPause() {
        final Rollout paused = RolloutFixtures.rollout(State.PAUSED);
        RolloutState state = begun();
        assertThat(state.step(running, evidence(healthy()), 59_999)).isEqualTo(state);
        assertThat(state.step(running, evidence(HealthCounts.NONE), 70_000)).isEqualTo(state);
        assertThat(state.step(paused, evidence(healthy()), 70_000)).isEqualTo(state);
        state = state.step(running, evidence(healthy()), 80_000);
        assertThat(state.share(running)).isEqualTo(0.1);
        final RolloutState restarted = RolloutState.initial("r", 90_000).merge(state);
        assertThat(restarted.share(running)).isEqualTo(0.1);
        assertThat(restarted.startedAt()).isEqualTo(0);
    }

    /** Guards against a halt that an operator cannot end, or that a stale entry brings back. */
    @Test
    void shouldStartAnewAfterTheOperatorStoppedIt() {
        final RolloutState halted = begun().step(running, evidence(bad()), 10);
        final RolloutState stopped = halted.step(RolloutFixtures.rollout(State.STOPPED), evidence(bad()), 20);
        RolloutState again =
                stopped.step(running, evidence(HealthCounts.NONE), 30).merge(halted);
        assertThat(again.halted()).isFalse();
        assertThat(again.startedAt()).isEqualTo(30);
        again = again.step(running, evidence(HealthCounts.NONE), 40);
        assertThat(again.share(running)).isEqualTo(0.01);
        assertThat(stopped.merge(again)
                        .step(running, evidence(HealthCounts.NONE), 50)
                        .generation())
                .isEqualTo(1);
    }

    /** Guards against entries that merge the same states and end differently, and against a lost halt. */
    @Property(tries = 1_000, seed = "20261204")
    void shouldMergeAlikeInAnyOrder(@ForAll long seed) {
        final UniformRandomProvider random = RolloutFixtures.random(seed);
        final RolloutState a = any(random);
        final RolloutState b = any(random);
        final RolloutState c = any(random);
        assertThat(a.merge(b)).isEqualTo(b.merge(a));
        assertThat(a.merge(b).merge(c)).isEqualTo(a.merge(b.merge(c)));
        assertThat(a.merge(a)).isEqualTo(a);
        final boolean halt = a.generation() == b.generation() && (a.halted() || b.halted());
        assertThat(halt && !a.merge(b).halted()).isFalse();
    }

    private static RolloutState any(UniformRandomProvider random) {
        return new RolloutState(
                "r",
                random.nextInt(2),
                random.nextInt(3) - 1,
                random.nextInt(3),
                random.nextInt(3),
                random.nextBoolean(),
                -1);
    }

    private RolloutState begun() {
        return RolloutState.initial("r", 0).step(running, evidence(HealthCounts.NONE), 0);
    }

    private static RolloutEvidence loaded(int upstreams) {
        return new RolloutEvidence(healthy(), RolloutFixtures.BASELINE, true, upstreams, 10);
    }
}
