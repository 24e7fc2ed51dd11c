package org.masticpaddle.routing;

import org.junit.jupiter.api.Test;
import org.masticpaddle.document.ModelVersion;

import static com.google.common.truth.Truth.assertThat;
import static org.masticpaddle.routing.Fixtures.KIND;
import static org.masticpaddle.routing.Fixtures.SMALL;

class QualityEstimatesTest {
    private static final long HALF_LIFE_MILLIS = 600_000;
    private final ModelVersion version = Fixtures.active(SMALL, 1, 0.8);
    private final QualityEstimates first = new QualityEstimates("a", HALF_LIFE_MILLIS);
    private final QualityEstimates second = new QualityEstimates("b", HALF_LIFE_MILLIS);

    /** Guards against old ratings that outweigh new ones indefinitely and so hide a change in a version's quality. */
    @Test
    void shouldFollowAChangeInQuality() {
        rate(first, 5_000, 1.0, 0);
        final double initialMean = first.estimate(version, KIND, 0).mean();
        rate(first, 1_000, 0.2, 8 * HALF_LIFE_MILLIS);
        final QualityEstimate changed = first.estimate(version, KIND, 8 * HALF_LIFE_MILLIS);
        assertThat(initialMean).isGreaterThan(0.9);
        assertThat(changed.mean()).isLessThan(0.65);
        assertThat(first.estimate(version, KIND, 100 * HALF_LIFE_MILLIS).mean())
                .isWithin(1e-6)
                .of(0.8);
    }

    /** Guards against double counting of a summary that the log delivers twice or out of order. */
    @Test
    void shouldMergeEachSummaryOnce() {
        rate(first, 100, 0.4, 0);
        final QualitySummary earlier = first.summary(1);
        rate(first, 100, 0.4, 2);
        final QualitySummary later = first.summary(3);
        assertThat(second.merge(later, 4)).isTrue();
        assertThat(second.merge(earlier, 5)).isFalse();
        assertThat(second.merge(later, 6)).isFalse();
        assertThat(first.merge(later, 6)).isFalse();
        assertThat(second.estimate(version, KIND, 6).weight()).isWithin(0.1).of(2_200);
    }

    /** Guards against entries whose estimates differ although they have merged the same ratings. */
    @Test
    void shouldMergeSummariesInAnyOrderWithTheSameResult() {
        final QualityEstimates third = new QualityEstimates("c", HALF_LIFE_MILLIS);
        rate(first, 50, 0.9, 0);
        rate(second, 70, 0.1, 100_000);
        third.merge(second.summary(100_000), 100_000);
        third.merge(first.summary(50_000), 200_000);
        first.merge(second.summary(150_000), 150_000);
        final QualityEstimate fromFirst = first.estimate(version, KIND, 300_000);
        final QualityEstimate fromThird = third.estimate(version, KIND, 300_000);
        assertThat(fromFirst.mean()).isWithin(1e-9).of(fromThird.mean());
        assertThat(fromFirst.weight()).isWithin(1e-6).of(fromThird.weight());
    }

    /** Guards against a version with few ratings that is preferred like one with many. */
    @Test
    void shouldLowerTheConfidenceBoundWithFewRatings() {
        final double fewRatings = QualityEstimate.ofBeta(9, 1).lowerBound();
        final double manyRatings = QualityEstimate.ofBeta(900, 100).lowerBound();
        assertThat(fewRatings).isLessThan(0.8);
        assertThat(manyRatings).isGreaterThan(0.88);
    }

    private static void rate(QualityEstimates estimates, int count, double rating, long now) {
        for (int index = 0; index < count; index++) {
            estimates.record(SMALL, KIND, rating, now);
        }
    }
}
