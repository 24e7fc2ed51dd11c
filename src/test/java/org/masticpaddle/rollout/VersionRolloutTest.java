package org.masticpaddle.rollout;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.masticpaddle.control.RolloutProgress;

import static com.google.common.truth.Truth.assertThat;

/** Guards against moving traffic to a version that is bad, and against a good version that is never completed. */
class VersionRolloutTest {
    private static final long SECOND = 1_000_000_000L;

    private final VersionRollout move = new VersionRollout("s", "v2", 7, Duration.ofSeconds(20), 0);

    @Test
    void shouldStartWithFewSessions() {
        assertThat(move.step(0, SECOND)).isEqualTo(Optional.of(RolloutProgress.RUNNING));
        assertThat(move.share()).isLessThan(0.1);
    }

    @Test
    void shouldCompleteASoundVersionInTime() {
        answers(40, 0);
        move.agree(RolloutProgress.RUNNING);
        double share = 0;
        for (int second = 1; second <= 15; second++) {
            move.step(0, second * SECOND);
            assertThat(move.share()).isAtLeast(share);
            share = move.share();
        }
        assertThat(share).isEqualTo(1.0);
        assertThat(move.step(0, 16 * SECOND)).isEqualTo(Optional.of(RolloutProgress.COMPLETED));
    }

    @Test
    void shouldWaitForRequestsOnTheOldVersionBeforeTheEnd() {
        answers(40, 0);
        move.agree(RolloutProgress.RUNNING);
        for (int second = 1; second <= 15; second++) {
            move.step(3, second * SECOND);
        }
        assertThat(move.step(3, 16 * SECOND)).isEqualTo(Optional.empty());
        assertThat(move.step(3, 18 * SECOND)).isEqualTo(Optional.of(RolloutProgress.COMPLETED));
    }

    @Test
    void shouldRollBackAVersionThatFails() {
        answers(6, 6);
        assertThat(move.step(0, 3 * SECOND)).isEqualTo(Optional.of(RolloutProgress.ROLLED_BACK));
        assertThat(move.share()).isEqualTo(0.0);
    }

    @Test
    void shouldRollBackAVersionThatFailsOnOneRouteOnly() {
        for (int count = 0; count < 60; count++) {
            move.answered(false, "a", true, false);
            move.answered(false, "b", true, false);
            move.answered(true, "a", true, false);
            if (count % 5 == 0) {
                move.answered(true, "b", count % 10 != 0, false);
            }
        }
        assertThat(move.step(0, 3 * SECOND)).isEqualTo(Optional.of(RolloutProgress.ROLLED_BACK));
    }

    @Test
    void shouldCountWhatOtherGatewaysSaw() {
        answers(2, 0);
        final VersionRollout other = new VersionRollout("s", "v2", 7, Duration.ofSeconds(20), 0);
        for (int count = 0; count < 6; count++) {
            other.answered(true, "a", false, false);
        }
        move.learned("other", other.counts(0, SECOND), SECOND);
        assertThat(move.step(0, 3 * SECOND)).isEqualTo(Optional.of(RolloutProgress.ROLLED_BACK));
    }

    @Test
    void shouldIgnoreCountsOfAnEarlierOrder() {
        move.learned(
                "other",
                new RolloutCounts("s", 3, Map.of("a", RouteCounts.NONE.counting(true, false, false)), 3, 9_000, 0),
                SECOND);
        assertThat(move.total().after().requests()).isEqualTo(0.0);
    }

    @Test
    void shouldNotAdvanceWithoutAnswersOfTheNewVersion() {
        move.agree(RolloutProgress.RUNNING);
        for (int second = 1; second <= 19; second++) {
            assertThat(move.step(0, second * SECOND)).isEqualTo(Optional.empty());
        }
        assertThat(move.share()).isLessThan(0.1);
    }

    @Test
    void shouldTakeUpAMoveThatOthersBeganBefore() {
        final VersionRollout late = new VersionRollout("s", "v2", 7, Duration.ofSeconds(20), 12 * SECOND);
        answers(40, 0);
        move.agree(RolloutProgress.RUNNING);
        for (int second = 1; second <= 14; second++) {
            move.step(0, second * SECOND);
        }
        late.learned("other", move.counts(0, 14 * SECOND), 14 * SECOND);
        assertThat(late.share()).isEqualTo(move.share());
        late.agree(RolloutProgress.RUNNING);
        assertThat(late.step(0, 16 * SECOND)).isEqualTo(Optional.of(RolloutProgress.COMPLETED));
    }

    @Test
    void shouldKeepAFinalProgress() {
        move.agree(RolloutProgress.ROLLED_BACK);
        move.agree(RolloutProgress.COMPLETED);
        assertThat(move.progress()).isEqualTo(Optional.of(RolloutProgress.ROLLED_BACK));
        assertThat(move.share()).isEqualTo(0.0);
    }

    private void answers(int moved, int failed) {
        for (int count = 0; count < 200; count++) {
            move.answered(false, "a", true, false);
        }
        for (int count = 0; count < moved; count++) {
            move.answered(true, "a", count >= failed, false);
        }
    }
}
