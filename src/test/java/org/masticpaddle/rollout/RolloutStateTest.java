package org.masticpaddle.rollout;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.apache.commons.rng.UniformRandomProvider;
import org.junit.jupiter.api.Test;
import org.masticpaddle.document.Rollout;
import org.masticpaddle.document.Rollout.State;

import static com.google.common.truth.Truth.assertThat;
import static org.masticpaddle.rollout.RolloutFixtures.badCounts;
import static org.masticpaddle.rollout.RolloutFixtures.evidence;
import static org.masticpaddle.rollout.RolloutFixtures.healthyCounts;

class RolloutStateTest {
    private final Rollout running = RolloutFixtures.rollout(State.RUNNING);

    /** Guards against a share that falls without a fault, grows by more than one stage at once or returns after a halt. */
    @Property(tries = 500, seed = "20261204")
    void shouldOnlyIncreaseShareUnlessHalted(@ForAll long seed) {
        final UniformRandomProvider random = RolloutFixtures.random(seed);
        RolloutState state = RolloutState.initial("r", 0);
        long now = 0;
        for (int step = 0; step < 60; step++) {
            now += random.nextInt(60_000);
            final Rollout declared = RolloutFixtures.rollout(random.nextBoolean() ? State.RUNNING : State.PAUSED);
            final HealthCounts counts = random.nextInt(40) == 0 ? badCounts() : healthyCounts();
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

    /** Guards against a bad version that keeps its share until the end of the stage, or regains it without the operator. */
    @Test
    void shouldHaltWithinStage() {
        final RolloutState halfway = startedRollout().step(running, evidence(HealthCounts.NONE), 30_000);
        assertThat(halfway.share(running)).isEqualTo(0.01);
        final RolloutState halted = halfway.step(running, evidence(badCounts()), 30_001);
        assertThat(halted.share(running)).isEqualTo(0.0);
        assertThat(halted.step(running, evidence(healthyCounts()), 900_000).share(running))
                .isEqualTo(0.0);
    }

    /** Guards against assigning more sessions to a version than the upstreams that have loaded it can serve. */
    @Test
    void shouldWaitUntilEnoughUpstreamsHaveLoadedVersion() {
        RolloutState state = RolloutState.initial("r", 0);
        state = state.step(running, loadedOn(1), 1);
        assertThat(state.share(running)).isEqualTo(0.0);
        state = state.step(running, loadedOn(2), 2).step(running, loadedOn(2), 70_000);
        assertThat(state.share(running)).isEqualTo(0.1);
        state = state.step(running, loadedOn(4), 140_000);
        assertThat(state.share(running)).isEqualTo(0.1);
        assertThat(state.step(running, loadedOn(5), 150_000).share(running)).isEqualTo(0.5);
    }

    /** Guards against a stage that advances during a pause, without evidence or too early, and against lost progress. */
    @Test
    void shouldResumeAfterPause() {
        final Rollout paused = RolloutFixtures.rollout(State.PAUSED);
        RolloutState state = startedRollout();
        assertThat(state.step(running, evidence(healthyCounts()), 59_999)).isEqualTo(state);
        assertThat(state.step(running, evidence(HealthCounts.NONE), 70_000)).isEqualTo(state);
        assertThat(state.step(paused, evidence(healthyCounts()), 70_000)).isEqualTo(state);
        state = state.step(running, evidence(healthyCounts()), 80_000);
        assertThat(state.share(running)).isEqualTo(0.1);
        final RolloutState rejoined = RolloutState.initial("r", 90_000).merge(state);
        assertThat(rejoined.share(running)).isEqualTo(0.1);
        assertThat(rejoined.startedAt()).isEqualTo(0);
    }

    /** Guards against a halt that an operator cannot clear, or that the state of an outdated entry restores. */
    @Test
    void shouldStartNewGenerationAfterOperatorStop() {
        final RolloutState halted = startedRollout().step(running, evidence(badCounts()), 10);
        final RolloutState stopped = halted.step(RolloutFixtures.rollout(State.STOPPED), evidence(badCounts()), 20);
        RolloutState restarted =
                stopped.step(running, evidence(HealthCounts.NONE), 30).merge(halted);
        assertThat(restarted.halted()).isFalse();
        assertThat(restarted.startedAt()).isEqualTo(30);
        restarted = restarted.step(running, evidence(HealthCounts.NONE), 40);
        assertThat(restarted.share(running)).isEqualTo(0.01);
        assertThat(stopped.merge(restarted)
                        .step(running, evidence(HealthCounts.NONE), 50)
                        .generation())
                .isEqualTo(1);
    }

    /** Guards against entries that merge the same states with different results, and against a lost halt. */
    @Property(tries = 1_000, seed = "20261204")
    void shouldMergeIndependentlyOfOrder(@ForAll long seed) {
        final UniformRandomProvider random = RolloutFixtures.random(seed);
        final RolloutState first = randomState(random);
        final RolloutState second = randomState(random);
        final RolloutState third = randomState(random);
        assertThat(first.merge(second)).isEqualTo(second.merge(first));
        assertThat(first.merge(second).merge(third)).isEqualTo(first.merge(second.merge(third)));
        assertThat(first.merge(first)).isEqualTo(first);
        final boolean eitherHalted = first.generation() == second.generation() && (first.halted() || second.halted());
        assertThat(eitherHalted && !first.merge(second).halted()).isFalse();
    }

    private static RolloutState randomState(UniformRandomProvider random) {
        return new RolloutState(
                "r",
                random.nextInt(2),
                random.nextInt(3) - 1,
                random.nextInt(3),
                random.nextInt(3),
                random.nextBoolean(),
                -1);
    }

    private RolloutState startedRollout() {
        return RolloutState.initial("r", 0).step(running, evidence(HealthCounts.NONE), 0);
    }

    private static RolloutEvidence loadedOn(int upstreams) {
        return new RolloutEvidence(healthyCounts(), RolloutFixtures.BASELINE, true, upstreams, 10);
    }
}
