package org.masticpaddle.fleet;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against old figures that are believed, and against figures that outweigh all others. */
class WorkPaceTest {
    private static final long SECOND_NANOS = 1_000_000_000L;

    private final WorkPace pace = new WorkPace();

    @Test
    void shouldBelieveTheNewestFigureLessAsItAges() {
        for (int second = 0; second < 10; second++) {
            pace.record(1, second * SECOND_NANOS);
        }
        final long now = 10 * SECOND_NANOS;
        pace.record(2.5, now);
        final double level = pace.level();
        final double fading = Math.pow(0.5, 1 / 30.0);
        assertThat(level).isWithin(1e-3).of(1 + 1.5 * (1 - fading) / (1 - Math.pow(fading, 11)));
        assertThat(pace.factor(level, now)).isEqualTo(2.5);
        assertThat(pace.factor(level, now + SECOND_NANOS / 10)).isGreaterThan(1.9);
        assertThat(pace.factor(level, now + SECOND_NANOS / 2)).isLessThan(1.4);
        assertThat(pace.factor(level, now + 3 * SECOND_NANOS)).isWithin(1e-3).of(level);
    }

    /** Guards against a slow moment that counts as the upstream's level since many answers arrived in it. */
    @Test
    void shouldCountFiguresOfTheSameMomentOnce() {
        pace.record(1, 0);
        for (int count = 0; count < 100; count++) {
            pace.record(3, SECOND_NANOS);
        }
        assertThat(pace.level()).isWithin(0.05).of(2);
        assertThat(pace.weight(SECOND_NANOS)).isWithin(0.05).of(2);
    }

    /** Guards against an upstream that gets no requests for good since its last figures were high. */
    @Test
    void shouldKnowLessOfTheLevelTheOlderTheFiguresAre() {
        pace.record(8, 0);
        assertThat(pace.weight(0)).isEqualTo(1.0);
        assertThat(pace.weight(30 * SECOND_NANOS)).isWithin(1e-9).of(0.5);
        assertThat(pace.weight(300 * SECOND_NANOS)).isLessThan(0.002);
    }

    @Test
    void shouldClampFiguresBeyondTheLimits() {
        pace.record(1e-9, 0);
        assertThat(pace.factor(1, 0)).isEqualTo(1 / 8.0);
        pace.record(1e9, SECOND_NANOS);
        assertThat(pace.factor(1, SECOND_NANOS)).isEqualTo(8.0);
    }

    @Test
    void shouldForgetAnEarlierIncarnation() {
        final UpstreamState state =
                new UpstreamState(UpstreamRegistryTest.upstream("a", 1, false), new EvacuatedDomains(), 0);
        state.onReport(SelfReports.workFactor(4), true, false, 0);
        assertThat(state.loadReport().workPace().level()).isEqualTo(4.0);
        state.update(UpstreamRegistryTest.upstream("a", 2, false));
        assertThat(state.loadReport().workPace().weight(0)).isEqualTo(0.0);
        assertThat(state.loadReport().workPace().factor(1, 0)).isEqualTo(1.0);
    }
}
