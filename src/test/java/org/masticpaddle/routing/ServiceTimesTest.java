package org.masticpaddle.routing;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against averages that are kept for each name of a model that a caller makes up. */
class ServiceTimesTest {
    private static final int NAMES = 10_000;
    private static final double MILLIS = 700;

    private final ServiceTimes times = new ServiceTimes();

    @Test
    void shouldForgetModelsThatWereNotUsedForLong() {
        final double initialInterval = times.eventIntervalMillis("unused", 1);
        final double initialPrefill = times.prefillMillis("unused", 1, 1_000);
        record("unused");
        assertThat(times.eventIntervalMillis("unused", 1)).isEqualTo(MILLIS);
        for (int number = 0; number < NAMES; number++) {
            record("name-" + number);
        }
        assertThat(times.eventIntervalMillis("unused", 1)).isEqualTo(initialInterval);
        assertThat(times.prefillMillis("unused", 1, 1_000)).isEqualTo(initialPrefill);
    }

    @Test
    void shouldKeepAModelThatIsInUse() {
        record("used");
        for (int number = 0; number < NAMES; number++) {
            record("name-" + number);
            assertThat(times.eventIntervalMillis("used", 1)).isEqualTo(MILLIS);
        }
    }

    private void record(String model) {
        times.recordEventInterval(model, MILLIS);
        times.recordPrefill(model, 1, 1_000, MILLIS);
    }
}
