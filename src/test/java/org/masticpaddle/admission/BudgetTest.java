package org.masticpaddle.admission;

import org.junit.jupiter.api.Test;
import org.masticpaddle.wire.Rank;

import static com.google.common.truth.Truth.assertThat;

/** Guards against retries and hedges that amplify an overload. */
class BudgetTest {
    @Test
    void shouldAllowRetriesForATenthOfFirstAttempts() {
        final RetryBudget budget = RetryBudget.create();
        int retries = 0;
        for (int count = 0; count < 10_000; count++) {
            budget.recordFirstAttempt(count);
            retries += budget.tryRetry(count) ? 1 : 0;
        }
        assertThat(retries).isAtLeast(1_000);
        assertThat(retries).isAtMost(1_001);
    }

    /**
     * Guards against an entry with little load that never retries, and against a burst of retries saved up over an
     * hour.
     */
    @Test
    void shouldAllowAMinimumRateAndNoBurst() {
        final RetryBudget budget = RetryBudget.create();
        assertThat(budget.tryRetry(0)).isTrue();
        assertThat(budget.tryRetry(0)).isFalse();
        assertThat(budget.tryRetry(10 * Requests.SECOND_NANOS)).isTrue();
        int burst = 0;
        while (budget.tryRetry(3_600 * Requests.SECOND_NANOS)) {
            burst++;
        }
        assertThat(burst).isAtMost(10);
    }

    @Test
    void shouldHedgeTwoInAHundredIdempotentUrgentRequestsOnly() {
        final HedgeBudget budget = HedgeBudget.create();
        int hedges = 0;
        for (int count = 0; count < 10_000; count++) {
            budget.recordFirstAttempt(Rank.URGENT, true, count);
            budget.recordFirstAttempt(Rank.BACKGROUND, true, count);
            assertThat(budget.tryHedge(Rank.URGENT, false, count)).isFalse();
            assertThat(budget.tryHedge(Rank.STANDARD, true, count)).isFalse();
            hedges += budget.tryHedge(Rank.URGENT, true, count) ? 1 : 0;
        }
        assertThat(hedges).isAtMost(200);
        assertThat(hedges).isAtLeast(199);
    }
}
