package org.masticpaddle.kernel;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
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

    /** Order of events: many steps of the wall clock in both directions, and its drift. */
    @Test
    void shouldMakeNoIntervalShorterThanTheMonotonicClock() {
        final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(5L);
        for (int trial = 0; trial < 200; trial++) {
            final long monotonicStart = monotonicNanos;
            final long start = clock.nanos();
            long last = start;
            for (int reading = 0; reading < 50; reading++) {
                final long elapsedMillis = random.nextLong(500);
                advance(
                        elapsedMillis,
                        elapsedMillis + random.nextLong(trial % 2 == 0 ? 20_001 : 21) - (trial % 2 == 0 ? 10_000 : 10));
                final long now = clock.nanos();
                assertThat(now - last).isAtLeast(elapsedMillis * 1_000_000);
                last = now;
            }
            assertThat(last - start).isAtLeast(monotonicNanos - monotonicStart);
        }
    }

    private void advance(long monotonicStepMillis, long wallStepMillis) {
        monotonicNanos += monotonicStepMillis * 1_000_000;
        wallMillis += wallStepMillis;
    }
}
