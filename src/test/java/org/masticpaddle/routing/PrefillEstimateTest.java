package org.masticpaddle.routing;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/** Guards against waits before the prefill that count as slow prefill of long prompts. */
class PrefillEstimateTest {
    private static final int ANSWERS = 2_000;
    private static final int MIN_TOKENS = 200;
    private static final int TOKEN_SPREAD = 6_000;
    private static final double FIXED_MILLIS = 40;

    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(7L);
    private final ServiceTimes times = new ServiceTimes();

    /** Of the answers a part waits for a random time, as behind the prompts of other gateways. */
    @ParameterizedTest
    @CsvSource({"0.01, 0, 0", "0.01, 0.3, 300", "0.01, 0.7, 200", "0.04, 0.3, 600", "0.04, 1, 100"})
    void shouldTellTheTimePerTokenFromTheWait(double millisPerToken, double waitingPart, double waitMillis) {
        double errors = 0;
        final int checked = ANSWERS / 2;
        for (int count = 0; count < ANSWERS; count++) {
            final int tokens = tokens();
            final double wait = random.nextDouble() < waitingPart ? 2 * waitMillis * random.nextDouble() : 0;
            times.recordPrefill("m", 0.1, tokens, FIXED_MILLIS + wait + tokens * millisPerToken);
            if (count >= checked) {
                errors += Math.abs(perToken() - millisPerToken) / checked;
            }
        }
        System.out.printf(
                "%.3f ms per token, %.0f%% wait %.0f ms: mean error %.4f ms per token, %.0f ms expected for 100 tokens%n",
                millisPerToken, 100 * waitingPart, waitMillis, errors, times.firstTokenMillis("m", 0.1, 100));
        // 5,000 tokens off by less than the mean wait of all answers, or by 5 ms without one.
        assertThat(errors * 5_000).isLessThan(Math.max(5, waitingPart * waitMillis));
        assertThat(times.firstTokenMillis("m", 0.1, 100)).isLessThan(FIXED_MILLIS + waitingPart * waitMillis + 15);
    }

    @Test
    void shouldExpectTheTimesThatWereSeenWhereAllPromptsHaveOneLength() {
        for (int count = 0; count < ANSWERS; count++) {
            times.recordPrefill("m", 1, 1_000, 300);
        }
        assertThat(times.firstTokenMillis("m", 1, 1_000)).isWithin(1).of(300);
        assertThat(times.firstTokenMillis("m", 1, 2_000)).isAtLeast(300.0);
    }

    @Test
    void shouldFollowAModelThatBecomesSlower() {
        for (int count = 0; count < ANSWERS; count++) {
            final int tokens = tokens();
            times.recordPrefill("m", 1, tokens, FIXED_MILLIS + tokens * (count < ANSWERS / 2 ? 0.01 : 0.05));
        }
        assertThat(perToken()).isWithin(0.002).of(0.05);
    }

    @Test
    void shouldNeverExpectNegativeTimes() {
        for (int count = 0; count < ANSWERS; count++) {
            final int tokens = tokens();
            times.recordPrefill("m", 1, tokens, Math.max(0, 600 - tokens * 0.1));
            assertThat(times.firstTokenMillis("m", 1, 1)).isAtLeast(0.0);
            assertThat(perToken()).isAtLeast(0.0);
        }
    }

    private int tokens() {
        return MIN_TOKENS + random.nextInt(TOKEN_SPREAD);
    }

    private double perToken() {
        return (times.firstTokenMillis("m", 0.1, 5_100) - times.firstTokenMillis("m", 0.1, 100)) / 5_000;
    }
}
