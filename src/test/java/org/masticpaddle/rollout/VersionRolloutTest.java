package org.masticpaddle.rollout;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.masticpaddle.control.RolloutProgress;

import static com.google.common.truth.Truth.assertThat;

/** Guards against shifting traffic to a bad version, and against a rollout of a good version that never completes. */
class VersionRolloutTest {
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final double EXPOSURE_SHARE = 0.15;

    private final VersionRollout rollout = new VersionRollout("s", "v2", 7, Duration.ofSeconds(20), EXPOSURE_SHARE, 0);

    @Test
    void shouldStartWithFewSessions() {
        assertThat(rollout.step(GatewayActivity.NONE, SECOND_NANOS)).isEqualTo(Optional.of(RolloutProgress.RUNNING));
        assertThat(rollout.share(SECOND_NANOS)).isLessThan(0.1);
    }

    @Test
    void shouldCompleteGoodVersionWithinTimeLimit() {
        recordAnswers(40, 0);
        rollout.applyProgress(RolloutProgress.RUNNING);
        double share = 0;
        for (int second = 1; second <= 15; second++) {
            recordAnswers(20, 0);
            rollout.step(GatewayActivity.NONE, second * SECOND_NANOS);
            assertThat(rollout.share(second * SECOND_NANOS)).isAtLeast(share);
            share = rollout.share(second * SECOND_NANOS);
        }
        assertThat(share).isEqualTo(1.0);
        assertThat(rollout.step(GatewayActivity.NONE, 16 * SECOND_NANOS))
                .isEqualTo(Optional.of(RolloutProgress.COMPLETED));
    }

    @Test
    void shouldWaitForRequestsOnOldVersionBeforeCompletion() {
        recordAnswers(40, 0);
        rollout.applyProgress(RolloutProgress.RUNNING);
        for (int second = 1; second <= 15; second++) {
            recordAnswers(20, 0);
            rollout.step(new GatewayActivity(3, 0), second * SECOND_NANOS);
        }
        assertThat(rollout.step(new GatewayActivity(3, 0), 16 * SECOND_NANOS)).isEqualTo(Optional.empty());
        assertThat(rollout.step(new GatewayActivity(3, 0), 18 * SECOND_NANOS))
                .isEqualTo(Optional.of(RolloutProgress.COMPLETED));
    }

    @Test
    void shouldRollBackAVersionThatFails() {
        recordAnswers(6, 6);
        assertThat(rollout.step(GatewayActivity.NONE, 3 * SECOND_NANOS))
                .isEqualTo(Optional.of(RolloutProgress.ROLLED_BACK));
        assertThat(rollout.share(3 * SECOND_NANOS)).isEqualTo(0.0);
    }

    @Test
    void shouldRollBackVersionThatFailsOnSingleRoute() {
        for (int count = 0; count < 60; count++) {
            rollout.recordAnswer(false, "a", true, false);
            rollout.recordAnswer(false, "b", true, false);
            rollout.recordAnswer(true, "a", true, false);
            if (count % 5 == 0) {
                rollout.recordAnswer(true, "b", count % 10 != 0, false);
            }
        }
        assertThat(rollout.step(GatewayActivity.NONE, 3 * SECOND_NANOS))
                .isEqualTo(Optional.of(RolloutProgress.ROLLED_BACK));
    }

    @Test
    void shouldAwaitCountsFromBeforeTheDecisionOnTheNextStage() {
        final Duration notice = Duration.ofSeconds(2);
        recordAnswers(40, 0);
        // The next stage starts after 11 s at the earliest and is decided on 2 s before that.
        assertThat(rollout.awaitsCounts(3 * SECOND_NANOS, notice)).isFalse();
        assertThat(rollout.awaitsCounts(6_900_000_000L, notice)).isFalse();
        assertThat(rollout.awaitsCounts(7 * SECOND_NANOS, notice)).isTrue();
    }

    @Test
    void shouldAwaitCountsWhileSomethingSpeaksAgainstTheNewVersion() {
        recordAnswers(40, 0);
        assertThat(rollout.awaitsCounts(3 * SECOND_NANOS, Duration.ZERO)).isFalse();
        recordAnswers(4, 4);
        assertThat(rollout.evidence()).isLessThan(SequentialTest.ALARM_EVIDENCE);
        assertThat(rollout.awaitsCounts(3 * SECOND_NANOS, Duration.ZERO)).isTrue();
    }

    @Test
    void shouldAwaitCountsFromTheDecisionOnTheNextStageOn() {
        recordAnswers(60, 0);
        rollout.applyProgress(RolloutProgress.RUNNING);
        rollout.step(GatewayActivity.NONE, 3 * SECOND_NANOS);
        recordAnswers(60, 0);
        rollout.step(GatewayActivity.NONE, 9 * SECOND_NANOS);
        assertThat(rollout.scheduledShare()).isGreaterThan(0.8 * EXPOSURE_SHARE);
        assertThat(rollout.awaitsCounts(9 * SECOND_NANOS, Duration.ZERO)).isTrue();
    }

    @Test
    void shouldMergeCountsOfOtherGateways() {
        recordAnswers(2, 0);
        final VersionRollout other = new VersionRollout("s", "v2", 7, Duration.ofSeconds(20), EXPOSURE_SHARE, 0);
        for (int count = 0; count < 6; count++) {
            other.recordAnswer(true, "a", false, false);
        }
        rollout.mergeCounts("other", other.counts(GatewayActivity.NONE, List.of(), SECOND_NANOS), SECOND_NANOS);
        assertThat(rollout.step(GatewayActivity.NONE, 3 * SECOND_NANOS))
                .isEqualTo(Optional.of(RolloutProgress.ROLLED_BACK));
    }

    @Test
    void shouldIgnoreCountsOfAnEarlierOrder() {
        rollout.mergeCounts(
                "other",
                new RolloutCounts(
                        "s",
                        "v2",
                        3,
                        Map.of("a", RouteCounts.NONE.withAnswer(true, false, false)),
                        3,
                        8_000,
                        9_000,
                        GatewayActivity.NONE,
                        List.of()),
                SECOND_NANOS);
        assertThat(rollout.totals().after().requests()).isEqualTo(0.0);
    }

    @Test
    void shouldNotAdvanceWithoutAnswersOfTheNewVersion() {
        rollout.applyProgress(RolloutProgress.RUNNING);
        for (int second = 1; second <= 19; second++) {
            assertThat(rollout.step(GatewayActivity.NONE, second * SECOND_NANOS))
                    .isEqualTo(Optional.empty());
        }
        assertThat(rollout.share(19 * SECOND_NANOS)).isEqualTo(rollout.share(5 * SECOND_NANOS));
        assertThat(rollout.share(19 * SECOND_NANOS)).isLessThan(EXPOSURE_SHARE);
    }

    @Test
    void shouldNotAdvanceWhileAnswersAreLate() {
        rollout.applyProgress(RolloutProgress.RUNNING);
        for (int second = 1; second <= 19; second++) {
            recordAnswers(2, 0);
            assertThat(rollout.step(new GatewayActivity(0, 20), second * SECOND_NANOS))
                    .isEqualTo(Optional.empty());
        }
        assertThat(rollout.share(19 * SECOND_NANOS)).isEqualTo(rollout.share(5 * SECOND_NANOS));
        assertThat(rollout.share(19 * SECOND_NANOS)).isLessThan(EXPOSURE_SHARE);
    }

    @Test
    void shouldNotAdvanceOnFewAnswers() {
        rollout.applyProgress(RolloutProgress.RUNNING);
        recordAnswers(4, 0);
        for (int second = 1; second <= 19; second++) {
            rollout.step(GatewayActivity.NONE, second * SECOND_NANOS);
        }
        assertThat(rollout.share(19 * SECOND_NANOS)).isEqualTo(rollout.share(5 * SECOND_NANOS));
        assertThat(rollout.share(19 * SECOND_NANOS)).isLessThan(EXPOSURE_SHARE);
    }

    @Test
    void shouldAdoptStageOfRolloutStartedEarlier() {
        final VersionRollout late =
                new VersionRollout("s", "v2", 7, Duration.ofSeconds(20), EXPOSURE_SHARE, 12 * SECOND_NANOS);
        recordAnswers(40, 0);
        rollout.applyProgress(RolloutProgress.RUNNING);
        for (int second = 1; second <= 14; second++) {
            recordAnswers(20, 0);
            rollout.step(GatewayActivity.NONE, second * SECOND_NANOS);
        }
        late.mergeCounts(
                "other", rollout.counts(GatewayActivity.NONE, List.of(), 14 * SECOND_NANOS), 14 * SECOND_NANOS);
        assertThat(late.share(15 * SECOND_NANOS)).isEqualTo(rollout.share(15 * SECOND_NANOS));
        late.applyProgress(RolloutProgress.RUNNING);
        late.step(GatewayActivity.NONE, 15 * SECOND_NANOS);
        for (int count = 0; count < 10; count++) {
            late.recordAnswer(true, "a", true, false);
        }
        assertThat(late.step(GatewayActivity.NONE, 16 * SECOND_NANOS))
                .isEqualTo(Optional.of(RolloutProgress.COMPLETED));
    }

    @Test
    void shouldKeepAFinalProgress() {
        rollout.applyProgress(RolloutProgress.ROLLED_BACK);
        rollout.applyProgress(RolloutProgress.COMPLETED);
        assertThat(rollout.progress()).isEqualTo(Optional.of(RolloutProgress.ROLLED_BACK));
        assertThat(rollout.share(SECOND_NANOS)).isEqualTo(0.0);
    }

    private void recordAnswers(int newVersionAnswers, int failed) {
        for (int count = 0; count < 200; count++) {
            rollout.recordAnswer(false, "a", true, false);
        }
        for (int count = 0; count < newVersionAnswers; count++) {
            rollout.recordAnswer(true, "a", count >= failed, false);
        }
    }
}
