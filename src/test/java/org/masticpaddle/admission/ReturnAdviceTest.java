package org.masticpaddle.admission;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against answers that are late because of the advice alone, and against callers that return all at once. */
class ReturnAdviceTest {
    private static final double SHORT_OBJECTIVE_MILLIS = 386;
    private static final double LONG_OBJECTIVE_MILLIS = 6_000;

    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(1);

    @Test
    void shouldLeaveMostOfTheObjectiveToAnotherGateway() {
        for (int count = 0; count < 1_000; count++) {
            assertThat(RetryAfterPolicy.FAILOVER.delaySeconds(SHORT_OBJECTIVE_MILLIS, random) * 1_000)
                    .isAtMost(SHORT_OBJECTIVE_MILLIS / 8);
            assertThat(RetryAfterPolicy.FAILOVER.delaySeconds(LONG_OBJECTIVE_MILLIS, random) * 1_000)
                    .isAtMost(LONG_OBJECTIVE_MILLIS / 8);
        }
    }

    @Test
    void shouldSpreadTheReturnAfterABurst() {
        double earliest = Double.MAX_VALUE;
        double latest = 0;
        for (int count = 0; count < 1_000; count++) {
            final double seconds = RetryAfterPolicy.BACKOFF.delaySeconds(LONG_OBJECTIVE_MILLIS, random);
            earliest = Math.min(earliest, seconds);
            latest = Math.max(latest, seconds);
        }
        assertThat(earliest).isAtLeast(0.3);
        assertThat(latest - earliest).isAtLeast(0.5);
        assertThat(latest).isAtMost(1);
    }
}
