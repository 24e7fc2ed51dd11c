package org.masticpaddle.fleet;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static com.google.common.truth.Truth.assertThat;

/** Guards against speeds that outlive their upstream or their time, and against single answers that decide. */
class ObservedSpeedTest {
    private static final long SECOND_NANOS = 1_000_000_000L;

    private final ObservedSpeed speed = new ObservedSpeed();

    @ParameterizedTest
    @EnumSource
    void shouldLearnTheLevelOfEachKindOfWork(ObservedSpeed.Work work) {
        for (int second = 0; second < 100; second++) {
            speed.record(work, second % 2 == 0 ? 0.8 : 0.45, second * SECOND_NANOS);
        }
        assertThat(Math.exp(speed.level(work))).isWithin(0.05).of(0.6);
        assertThat(speed.weight(work, 100 * SECOND_NANOS)).isGreaterThan(1.0);
        for (final ObservedSpeed.Work other : ObservedSpeed.Work.values()) {
            assertThat(speed.weight(other, 0) > 0).isEqualTo(other == work);
        }
    }

    /** Guards against an upstream that gets no more requests because of a few slow answers. */
    @Test
    void shouldKnowLessTheOlderTheObservationsAre() {
        for (int count = 0; count < 10; count++) {
            speed.record(ObservedSpeed.Work.STEP, 3, 0);
        }
        assertThat(speed.weight(ObservedSpeed.Work.STEP, 0)).isWithin(1e-9).of(10);
        assertThat(speed.weight(ObservedSpeed.Work.STEP, 30 * SECOND_NANOS))
                .isWithin(1e-9)
                .of(5);
        assertThat(speed.weight(ObservedSpeed.Work.STEP, 300 * SECOND_NANOS)).isLessThan(0.02);
    }

    @Test
    void shouldClampAndIgnoreStrangeRatios() {
        for (final double ratio : new double[] {0, -1, Double.NaN}) {
            speed.record(ObservedSpeed.Work.PLAIN, ratio, 0);
        }
        assertThat(speed.weight(ObservedSpeed.Work.PLAIN, 0)).isEqualTo(0.0);
        speed.record(ObservedSpeed.Work.PLAIN, Double.POSITIVE_INFINITY, 0);
        assertThat(Math.exp(speed.level(ObservedSpeed.Work.PLAIN)))
                .isWithin(1e-9)
                .of(4);
        speed.record(ObservedSpeed.Work.STEP, 1e-9, 0);
        assertThat(Math.exp(speed.level(ObservedSpeed.Work.STEP)))
                .isWithin(1e-9)
                .of(0.25);
    }

    @Test
    void shouldForgetAnEarlierIncarnation() {
        final UpstreamState state =
                new UpstreamState(UpstreamRegistryTest.upstream("a", 1, false), new EvacuatedDomains(), 0);
        state.performance().speed().record(ObservedSpeed.Work.STEP, 2, 0);
        state.update(UpstreamRegistryTest.upstream("a", 2, false));
        assertThat(state.performance().speed().weight(ObservedSpeed.Work.STEP, 0))
                .isEqualTo(0.0);
        assertThat(state.performance().speed().level(ObservedSpeed.Work.STEP)).isEqualTo(0.0);
    }
}
