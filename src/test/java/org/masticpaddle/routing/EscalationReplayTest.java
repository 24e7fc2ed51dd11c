package org.masticpaddle.routing;

import java.util.OptionalInt;
import java.util.function.IntSupplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Replays doubtful drafts by the load of the largest model. Guards against a burst that replaces all drafts and delays all answers, against
 * poor drafts that are delivered while a late answer would serve the caller better, and against confidences that say nothing.
 */
class EscalationReplayTest {
    private static final int THRESHOLD = 50;
    private static final int DRAFTS = 2_000;
    private static final double OBJECTIVE_MILLIS = 1_500;
    private static final double DEADLINE_MILLIS = 6_000;
    private static final int RANK = 1;

    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(3L);
    private final ModelCascade cascade = new ModelCascade(THRESHOLD, EscalationPolicy.BY_VALUE);

    @Test
    void shouldReplaceEachDoubtfulDraftThatCanBeReplacedInTimeWithoutLoad() {
        for (int confidence = 0; confidence < THRESHOLD; confidence++) {
            for (int rank = 0; rank < 3; rank++) {
                assertThat(cascade.decide(confidence, rank, inTime(0))).isEqualTo(DraftDecision.ESCALATED);
            }
        }
    }

    /** In a burst the model is left to the poorest drafts, and to fewer of them the longer its queue is. */
    @Test
    void shouldReplaceThePoorestDraftsFirstUnderLoad() {
        int lastReplaced = Integer.MAX_VALUE;
        for (double waitMillis = 0; waitMillis <= 1_000; waitMillis += 50) {
            int replaced = 0;
            int poorestKept = THRESHOLD;
            for (int confidence = 0; confidence < THRESHOLD; confidence++) {
                if (cascade.decide(confidence, RANK, inTime(waitMillis)) == DraftDecision.ESCALATED) {
                    replaced++;
                } else {
                    poorestKept = Math.min(poorestKept, confidence);
                }
            }
            assertThat(replaced).isEqualTo(poorestKept);
            assertThat(replaced).isAtMost(lastReplaced);
            lastReplaced = replaced;
        }
        assertThat(lastReplaced).isEqualTo(0);
    }

    /** One server stands for the largest model. Its queue must stay so short that the answers in it come in time. */
    @ParameterizedTest
    @CsvSource({"0.5, 50", "1.5, 50", "4, 50", "10, 50", "10, 0"})
    void shouldKeepTheQueueOfTheLargestModelShortInABurst(double load, int confidenceBound) {
        final double workMillis = 60;
        double queueMillis = 0;
        double longestMillis = 0;
        double idleMillis = 0;
        int replaced = 0;
        for (int draft = 0; draft < DRAFTS; draft++) {
            final double passed = workMillis / load * -Math.log(1 - random.nextDouble());
            idleMillis += Math.max(0, passed - queueMillis);
            queueMillis = Math.max(0, queueMillis - passed);
            final int confidence = confidenceBound == 0 ? 0 : random.nextInt(confidenceBound);
            final DraftDecision decision = cascade.decide(
                    confidence,
                    RANK,
                    new ModelCascade.LatencyEstimate(
                            OBJECTIVE_MILLIS,
                            DEADLINE_MILLIS,
                            queueMillis,
                            queueMillis + workMillis,
                            queueMillis + 500));
            if (decision == DraftDecision.ESCALATED) {
                replaced++;
                queueMillis += workMillis;
            }
            longestMillis = Math.max(longestMillis, queueMillis);
        }
        System.out.printf(
                "load %.1f, confidence below %d: %d of %d drafts replaced, longest queue %.0f ms, idle %.0f ms%n",
                load, confidenceBound, replaced, DRAFTS, longestMillis, idleMillis);
        assertThat(longestMillis).isLessThan(OBJECTIVE_MILLIS / 2);
        // The model works through a burst: less than a tenth of its time is unused although drafts are kept.
        if (load >= 4) {
            assertThat(idleMillis).isLessThan(0.1 * replaced * workMillis);
        }
    }

    /** A larger model that is slow answers after the objective. */
    @Test
    void shouldPreferALateAnswerToAPoorDraftAndADraftInTimeToALateAnswer() {
        final ModelCascade.LatencyEstimate late =
                new ModelCascade.LatencyEstimate(OBJECTIVE_MILLIS, DEADLINE_MILLIS, 0, 1_600, 2_500);
        assertThat(cascade.decide(5, RANK, late)).isEqualTo(DraftDecision.ESCALATED);
        assertThat(cascade.decide(45, RANK, late)).isEqualTo(DraftDecision.TOO_LATE);
        final ModelCascade.LatencyEstimate afterDeadline =
                new ModelCascade.LatencyEstimate(OBJECTIVE_MILLIS, DEADLINE_MILLIS, 0, 1_600, 5_000);
        assertThat(cascade.decide(0, RANK, afterDeadline)).isEqualTo(DraftDecision.TOO_LATE);
        assertThat(new ModelCascade(THRESHOLD, EscalationPolicy.IN_TIME).decide(5, RANK, late))
                .isEqualTo(DraftDecision.TOO_LATE);
    }

    /** Nothing is lost by an answer that is as late as the draft is. */
    @Test
    void shouldReplaceADoubtfulDraftThatIsLateItself() {
        final ModelCascade.LatencyEstimate late = new ModelCascade.LatencyEstimate(-10, DEADLINE_MILLIS, 0, 200, 1_000);
        assertThat(cascade.decide(45, RANK, late)).isEqualTo(DraftDecision.ESCALATED);
    }

    @ParameterizedTest
    @EnumSource(EscalationPolicy.class)
    void shouldNeverReplaceADraftIfTheAnswerIsExpectedToMissTheDeadline(EscalationPolicy policy) {
        final ModelCascade each = new ModelCascade(100, policy);
        for (int draft = 0; draft < DRAFTS; draft++) {
            final double left = 6_000 * random.nextDouble();
            final double start = 6_000 * random.nextDouble();
            final ModelCascade.LatencyEstimate estimate = new ModelCascade.LatencyEstimate(
                    3_000 * random.nextDouble() - 500, left, 100 * random.nextDouble(), start, start + 100);
            if (start + 100 >= left) {
                assertThat(each.decide(random.nextInt(100), random.nextInt(4) - 1, estimate))
                        .isNotEqualTo(DraftDecision.ESCALATED);
            }
        }
    }

    @Test
    void shouldNotListenToAConfidenceThatIsAlwaysTheSame() {
        assertThat(heeded(() -> 20)).isEqualTo(0);
        assertThat(heeded(() -> 19 + random.nextInt(2))).isEqualTo(0);
    }

    @Test
    void shouldNotListenToAConfidenceOutsideOfItsRange() {
        assertThat(heeded(() -> 101 + random.nextInt(1_000))).isEqualTo(0);
        assertThat(heeded(() -> -1 - random.nextInt(1_000))).isEqualTo(0);
        assertThat(new DraftConfidences().heed("r", "m", OptionalInt.empty())).isEqualTo(OptionalInt.empty());
    }

    @Test
    void shouldListenToAConfidenceThatDiffers() {
        assertThat(heeded(() -> random.nextInt(101))).isEqualTo(DRAFTS);
        assertThat(heeded(() -> random.nextInt(10) == 0 ? 10 : 90)).isEqualTo(DRAFTS);
    }

    @Test
    void shouldListenToAConfidenceThatBeginsToDiffer() {
        final DraftConfidences confidences = new DraftConfidences();
        for (int draft = 0; draft < DRAFTS; draft++) {
            confidences.heed("r", "m", OptionalInt.of(50));
        }
        int heeded = 0;
        for (int draft = 0; draft < 20; draft++) {
            heeded += confidences.heed("r", "m", OptionalInt.of(random.nextInt(101))).stream()
                    .map(value -> 1)
                    .sum();
        }
        assertThat(heeded).isAtLeast(18);
    }

    /** Returns the number of the later drafts whose confidence counts. */
    private static int heeded(IntSupplier source) {
        final DraftConfidences confidences = new DraftConfidences();
        int heeded = 0;
        for (int draft = -100; draft < DRAFTS; draft++) {
            final boolean counts = confidences
                    .heed("r", "m", OptionalInt.of(source.getAsInt()))
                    .isPresent();
            heeded += counts && draft >= 0 ? 1 : 0;
        }
        return heeded;
    }

    private static ModelCascade.LatencyEstimate inTime(double waitMillis) {
        return new ModelCascade.LatencyEstimate(OBJECTIVE_MILLIS, DEADLINE_MILLIS, waitMillis, waitMillis + 100, 1_500);
    }
}
