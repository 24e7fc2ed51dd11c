package org.masticpaddle.control;

import java.time.Duration;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/** Guards against reads of the log that are too rare for a bound of the deployment, or more frequent than the bounds need. */
class StoreCadenceTest {
    private static final long RESPONSE_TIMEOUT_MILLIS = 700;
    private static final long CONFIRMATION_MILLIS = 400;
    private static final long SLOW_RESPONSE_MILLIS = 250;
    private static final long CONNECT_MILLIS = 400;
    private static final long LATE_TIMER_MILLIS = 300;

    @ParameterizedTest
    @CsvSource({"5000,2000,3000", "5000,3000,4000", "5000,4000,5000", "3000,1500,2500", "9000,8000,10000"})
    void shouldKeepTheBoundsAlsoIfAReadIsLost(long keyRevocation, long drain, long settling) {
        final StoreCadence cadence = cadence(keyRevocation, drain, settling);
        final long hold = cadence.operatorStream().longPollTimeout().toMillis();
        final long noticedMillis = hold + RESPONSE_TIMEOUT_MILLIS + CONFIRMATION_MILLIS;
        assertThat(noticedMillis).isAtMost(settling);
        assertThat(noticedMillis).isAtMost(keyRevocation - CONNECT_MILLIS);
        final long pauseMillis = cadence.upstreamList().pause().toMillis();
        assertThat(pauseMillis + LATE_TIMER_MILLIS + SLOW_RESPONSE_MILLIS + CONNECT_MILLIS)
                .isAtMost(drain);
        final long backoffMillis = Math.max(
                cadence.upstreamList().maxBackoff().toMillis(),
                cadence.rolloutStatus().maxBackoff().toMillis());
        assertThat(RESPONSE_TIMEOUT_MILLIS + backoffMillis + LATE_TIMER_MILLIS + SLOW_RESPONSE_MILLIS)
                .isAtMost(settling);
        assertThat(cadence.upstreamList().maxBackoff().toMillis()).isAtMost(pauseMillis);
    }

    @ParameterizedTest
    @CsvSource({"5000,2000,3000,1.5", "5000,3000,4000,0.9", "5000,4000,5000,0.7"})
    void shouldReadSeldomIfTheBoundsAreWide(long keyRevocation, long drain, long settling, double maxCallsPerSecond) {
        final StoreCadence cadence = cadence(keyRevocation, drain, settling);
        final double callsPerSecond =
                1e3 / cadence.operatorStream().longPollTimeout().toMillis()
                        + 1e3 / cadence.upstreamList().pause().toMillis();
        assertThat(callsPerSecond).isAtMost(maxCallsPerSecond);
    }

    @ParameterizedTest
    @CsvSource({"5000,5000,4000", "5000,2500,4000", "9000,3000,10000", "5000,3400,3000"})
    void shouldKeepTheBoundOnEvacuatedDomainsAlsoIfAReadIsLost(long keyRevocation, long evacuation, long settling) {
        final StoreCadence cadence =
                cadence(keyRevocation, Optional.of(Duration.ofMillis(evacuation)), 2_000, settling);
        final long noticedMillis =
                cadence.operatorStream().longPollTimeout().toMillis() + RESPONSE_TIMEOUT_MILLIS + CONFIRMATION_MILLIS;
        assertThat(noticedMillis).isAtMost(evacuation - CONNECT_MILLIS);
        assertThat(noticedMillis).isAtMost(settling);
    }

    @Test
    void shouldReadAsOftenAsBeforeWithoutABoundOnEvacuatedDomains() {
        assertThat(cadence(5_000, Optional.of(Duration.ofSeconds(60)), 2_000, 4_000))
                .isEqualTo(cadence(5_000, Optional.empty(), 2_000, 4_000));
        assertThat(cadence(5_000, Optional.empty(), 2_000, 4_000).operatorStream())
                .isEqualTo(ReadTiming.longPoll(Duration.ofMillis(2_900)));
    }

    @Test
    void shouldReadAtAPositiveIntervalIfTheBoundsAreVeryNarrow() {
        final StoreCadence cadence = cadence(1, 1, 1);
        assertThat(cadence.operatorStream().longPollTimeout()).isGreaterThan(Duration.ofMillis(100));
        assertThat(cadence.upstreamList().pause()).isGreaterThan(Duration.ofMillis(100));
    }

    private static StoreCadence cadence(long keyRevocation, long drain, long settling) {
        return cadence(keyRevocation, Optional.empty(), drain, settling);
    }

    private static StoreCadence cadence(long keyRevocation, Optional<Duration> evacuation, long drain, long settling) {
        return StoreCadence.of(
                Duration.ofMillis(keyRevocation), evacuation, Duration.ofMillis(drain), Duration.ofMillis(settling));
    }
}
