package org.masticpaddle.routing;

import java.util.OptionalInt;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against poor answers while there is room, and against long prompts that hold up urgent work when there is none. */
class ModelLadderTest {
    private static final OptionalInt KEEP = OptionalInt.empty();

    private final ModelCascade ladder = new ModelCascade(60);

    @Test
    void shouldKeepADraftThatItsModelTrusts() {
        assertThat(ladder.next(3, 0, OptionalInt.of(60), 0, outlook(2_000, 0, 100)))
                .isEqualTo(KEEP);
    }

    @Test
    void shouldGoOnWithTheLargestModelInDoubt() {
        assertThat(ladder.next(3, 0, OptionalInt.of(59), 0, outlook(2_000, 0, 100)))
                .isEqualTo(OptionalInt.of(2));
    }

    @Test
    void shouldKeepADraftWhenTheLargerModelWouldBeLate() {
        assertThat(ladder.next(3, 0, OptionalInt.of(0), 0, outlook(90, 0, 100))).isEqualTo(KEEP);
    }

    @Test
    void shouldLeaveTheLargerModelToUrgentRequestsUnderLoad() {
        assertThat(ladder.next(3, 0, OptionalInt.of(0), 0, outlook(9_000, 800, 900)))
                .isEqualTo(OptionalInt.of(2));
        assertThat(ladder.next(3, 0, OptionalInt.of(0), 1, outlook(9_000, 800, 900)))
                .isEqualTo(KEEP);
        assertThat(ladder.next(3, 0, OptionalInt.of(0), 2, outlook(9_000, 300, 900)))
                .isEqualTo(KEEP);
    }

    @Test
    void shouldKeepTheAnswerOfTheLargestModel() {
        assertThat(ladder.next(3, 2, OptionalInt.of(0), 0, outlook(2_000, 0, 100)))
                .isEqualTo(KEEP);
    }

    @Test
    void shouldKeepADraftWhenTheLargerModelWouldNotEndInTime() {
        assertThat(ladder.next(3, 0, OptionalInt.of(0), 0, new ModelCascade.LatencyEstimate(2_000, 5_000, 0, 100, 6_000)))
                .isEqualTo(KEEP);
    }

    private static ModelCascade.LatencyEstimate outlook(double objectiveLeft, double wait, double begin) {
        return new ModelCascade.LatencyEstimate(objectiveLeft, 10_000, wait, begin, begin);
    }
}
