package org.masticpaddle.kernel;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against using stale information after a suspension, during which the monotonic clock stops. */
class SuspendAwareClockTest {
    private long monotonicNanos;
    private long wallMillis = 1_000_000;
    private final SuspendAwareClock clock = new SuspendAwareClock(() -> monotonicNanos, () -> wallMillis);

    @Test
    void shouldFollowTheMonotonicClock() {
        advance(5, 5);
        assertThat(clock.nanos()).isEqualTo(5_000_000);
    }

    @Test
    void shouldIncludeTheTimeOfASuspension() {
        advance(1, 4_001);
        assertThat(clock.nanos()).isEqualTo(4_001_000_000L);
        advance(10, 10);
        assertThat(clock.nanos()).isEqualTo(4_011_000_000L);
    }

    @Test
    void shouldNotDecreaseWhenTheWallClockIsSetBack() {
        advance(1_000, 1_000);
        final long before = clock.nanos();
        advance(1, -2_000);
        assertThat(clock.nanos()).isEqualTo(before + 1_000_000);
    }

    private void advance(long monotonicStepMillis, long wallStepMillis) {
        monotonicNanos += monotonicStepMillis * 1_000_000;
        wallMillis += wallStepMillis;
    }
}
