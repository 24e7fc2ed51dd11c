package org.masticpaddle.fleet;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against permits that are issued too fast, or saved up and used at once. */
class RequestPacerTest {
    private static final long SECOND = 1_000_000_000L;

    @Test
    void shouldIssuePermitsAtItsRate() {
        final RequestPacer pacer = new RequestPacer(4, 0, 0);
        int taken = 0;
        for (long now = 0; now <= 100 * SECOND; now += SECOND / 50) {
            if (pacer.available(now) > 0) {
                pacer.take(now);
                taken++;
            }
        }
        assertThat(taken).isAtLeast(399);
        assertThat(taken).isAtMost(401);
    }

    @Test
    void shouldNotSavePermits() {
        final RequestPacer pacer = new RequestPacer(4, 0.5, 0);
        assertThat(pacer.available(1_000 * SECOND)).isAtMost(4);
    }

    @Test
    void shouldLetPermitExpireAtLowRate() {
        final RequestPacer pacer = new RequestPacer(0.1, 0.9, 0);
        assertThat(pacer.available(SECOND / 2)).isEqualTo(0);
        assertThat(pacer.available(SECOND + SECOND / 2)).isEqualTo(1);
        assertThat(pacer.available(2 * SECOND + SECOND / 2)).isEqualTo(0);
        assertThat(pacer.available(11 * SECOND + SECOND / 2)).isEqualTo(1);
    }

    @Test
    void shouldCountRequestWithoutPermitAgainstTheNext() {
        final RequestPacer pacer = new RequestPacer(2, 0, 0);
        pacer.take(0);
        assertThat(pacer.available(SECOND / 2)).isEqualTo(0);
        assertThat(pacer.available(SECOND)).isEqualTo(1);
    }

    @Test
    void shouldIssueNothingAtRateZero() {
        final RequestPacer pacer = new RequestPacer(0, 0.99, 0);
        assertThat(pacer.available(1_000 * SECOND)).isEqualTo(0);
        pacer.setRate(1, 1_000 * SECOND);
        assertThat(pacer.available(1_001 * SECOND)).isEqualTo(1);
    }
}
