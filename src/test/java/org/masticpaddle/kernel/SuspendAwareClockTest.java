package org.masticpaddle.kernel;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against trusting old facts after a suspension, during which the monotonic clock stands still. */
class SuspendAwareClockTest {
    private long monotonic;
    private long wall = 1_000_000;
    private final SuspendAwareClock clock = new SuspendAwareClock(() -> monotonic, () -> wall);

    @Test
    void shouldFollowTheMonotonicClock() {
        pass(5, 5);
        assertThat(clock.nanos()).isEqualTo(5_000_000);
    }

    @Test
    void shouldCountTimeInWhichTheMachineWasSuspended() {
        pass(1, 4_001);
        assertThat(clock.nanos()).isEqualTo(4_001_000_000L);
        pass(10, 10);
        assertThat(clock.nanos()).isEqualTo(4_011_000_000L);
    }

    @Test
    void shouldNotGoBackWhenTheTimeOfDayDoes() {
        pass(1_000, 1_000);
        final long before = clock.nanos();
        pass(1, -2_000);
        assertThat(clock.nanos()).isEqualTo(before + 1_000_000);
    }

    private void pass(long monotonicMillis, long wallMillis) {
        monotonic += monotonicMillis * 1_000_000;
        wall += wallMillis;
    }
}
