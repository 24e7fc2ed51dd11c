package org.masticpaddle.routing;

import org.junit.jupiter.api.Test;
import org.masticpaddle.document.ModelVersion;

import static com.google.common.truth.Truth.assertThat;
import static org.masticpaddle.routing.Fixtures.KIND;
import static org.masticpaddle.routing.Fixtures.SMALL;

class QualityEstimatesTest {
    private static final long HALF_LIFE = 600_000;
    private final ModelVersion version = Fixtures.active(SMALL, 1, 0.8);
    private final QualityEstimates first = new QualityEstimates("a", HALF_LIFE);
    private final QualityEstimates second = new QualityEstimates("b", HALF_LIFE);

    /** Guards against old ratings outweighing new ones for ever, which would hide that a version has changed. */
    @Test
    void shouldNoticeAVersionThatChanges() {
        rate(first, 5_000, 1.0, 0);
        final double before = first.estimate(version, KIND, 0).mean();
        rate(first, 1_000, 0.2, 8 * HALF_LIFE);
        final QualityEstimate after = first.estimate(version, KIND, 8 * HALF_LIFE);
        assertThat(before).isGreaterThan(0.9);
        assertThat(after.mean()).isLessThan(0.65);
        assertThat(first.estimate(version, KIND, 100 * HALF_LIFE).mean())
                .isWithin(1e-6)
                .of(0.8);
    }

    /** Guards against a summary that the log delivers twice or late being counted twice. */
    @Test
    void shouldCountASummaryOnce() {
        rate(first, 100, 0.4, 0);
        final QualitySummary early = first.summary(1);
        rate(first, 100, 0.4, 2);
        final QualitySummary late = first.summary(3);
        assertThat(second.merge(late, 4)).isTrue();
        assertThat(second.merge(early, 5)).isFalse();
        assertThat(second.merge(late, 6)).isFalse();
        assertThat(first.merge(late, 6)).isFalse();
        assertThat(second.estimate(version, KIND, 6).weight()).isWithin(0.1).of(2_200);
    }

    /** Guards against entries that disagree although they have seen the same ratings. */
    @Test
    void shouldAgreeWhateverTheOrderOfSummaries() {
        final QualityEstimates third = new QualityEstimates("c", HALF_LIFE);
        rate(first, 50, 0.9, 0);
        rate(second, 70, 0.1, 100_000);
        third.merge(second.summary(100_000), 100_000);
        third.merge(first.summary(50_000), 200_000);
        first.merge(second.summary(150_000), 150_000);
        final QualityEstimate left = first.estimate(version, KIND, 300_000);
        final QualityEstimate right = third.estimate(version, KIND, 300_000);
        assertThat(left.mean()).isWithin(1e-9).of(right.mean());
        assertThat(left.weight()).isWithin(1e-6).of(right.weight());
    }

    /** Guards against a version without ratings counting as good as one that is well known. */
    @Test
    void shouldLowerTheBoundWhenLittleIsKnown() {
        final double little = QualityEstimate.ofBeta(9, 1).lowerBound();
        final double much = QualityEstimate.ofBeta(900, 100).lowerBound();
        assertThat(little).isLessThan(0.8);
        assertThat(much).isGreaterThan(0.88);
    }

    private static void rate(QualityEstimates estimates, int times, double rating, long now) {
        for (int index = 0; index < times; index++) {
            estimates.record(SMALL, KIND, rating, now);
        }
    }
}
