package org.masticpaddle.routing;

import java.util.OptionalInt;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against poor answers while the largest model has capacity, and against delays to urgent requests when it is
 * loaded.
 */
class ModelCascadeTest {
    private static final OptionalInt KEEP = OptionalInt.empty();

    private final ModelCascade cascade = new ModelCascade(60, EscalationPolicy.IN_TIME);

    @Test
    void shouldKeepADraftWithConfidenceAtTheThreshold() {
        assertThat(cascade.escalationTarget(3, 0, OptionalInt.of(60), 0, estimate(2_000, 0, 100)))
                .isEqualTo(KEEP);
    }

    @Test
    void shouldEscalateToTheLargestModelBelowTheThreshold() {
        assertThat(cascade.escalationTarget(3, 0, OptionalInt.of(59), 0, estimate(2_000, 0, 100)))
                .isEqualTo(OptionalInt.of(2));
    }

    @Test
    void shouldKeepADraftWhenTheLargestModelWouldMissTheObjective() {
        assertThat(cascade.escalationTarget(3, 0, OptionalInt.of(0), 0, estimate(90, 0, 100)))
                .isEqualTo(KEEP);
    }

    @Test
    void shouldReserveTheLargestModelForUrgentRequestsUnderLoad() {
        assertThat(cascade.escalationTarget(3, 0, OptionalInt.of(0), 0, estimate(9_000, 800, 900)))
                .isEqualTo(OptionalInt.of(2));
        assertThat(cascade.escalationTarget(3, 0, OptionalInt.of(0), 1, estimate(9_000, 800, 900)))
                .isEqualTo(KEEP);
        assertThat(cascade.escalationTarget(3, 0, OptionalInt.of(0), 2, estimate(9_000, 300, 900)))
                .isEqualTo(KEEP);
    }

    @Test
    void shouldKeepTheAnswerOfTheLargestModel() {
        assertThat(cascade.escalationTarget(3, 2, OptionalInt.of(0), 0, estimate(2_000, 0, 100)))
                .isEqualTo(KEEP);
    }

    @Test
    void shouldKeepADraftWhenTheLargestModelWouldMissTheDeadline() {
        assertThat(cascade.escalationTarget(
                        3, 0, OptionalInt.of(0), 0, new ModelCascade.LatencyEstimate(2_000, 5_000, 0, 100, 6_000)))
                .isEqualTo(KEEP);
    }

    @Test
    void shouldTellWhyADoubtfulDraftIsKept() {
        assertThat(cascade.doubtful(3, 0, OptionalInt.of(59))).isTrue();
        assertThat(cascade.doubtful(3, 0, OptionalInt.empty())).isFalse();
        assertThat(cascade.doubtful(3, 2, OptionalInt.of(0))).isFalse();
        assertThat(cascade.decide(59, 2, estimate(9_000, 100, 900))).isEqualTo(DraftDecision.ESCALATED);
        assertThat(cascade.decide(59, 2, estimate(9_000, 300, 900))).isEqualTo(DraftDecision.RESERVED);
        assertThat(cascade.decide(59, 2, estimate(800, 300, 900))).isEqualTo(DraftDecision.TOO_LATE);
    }

    @Test
    void shouldStartWithTheLargestModelOnlyIfItsAnswerEndsWellBeforeTheDeadline() {
        assertThat(cascade.startsWithLargest(new ModelCascade.LatencyEstimate(500, 8_000, 100, 400, 3_900)))
                .isTrue();
        assertThat(cascade.startsWithLargest(new ModelCascade.LatencyEstimate(500, 8_000, 100, 400, 4_100)))
                .isFalse();
        assertThat(cascade.startsWithLargest(new ModelCascade.LatencyEstimate(500, 8_000, 100, 600, 3_900)))
                .isFalse();
    }

    private static ModelCascade.LatencyEstimate estimate(
            double objectiveLeftMillis, double waitMillis, double answerStartMillis) {
        return new ModelCascade.LatencyEstimate(
                objectiveLeftMillis, 10_000, waitMillis, answerStartMillis, answerStartMillis);
    }
}
