package org.masticpaddle.admission;

import java.util.function.IntToDoubleFunction;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.masticpaddle.document.Limits;

import static com.google.common.truth.Truth.assertThat;

/** Guards against limits that are exceeded, or not reached, because the entries do not see the demand at the others. */
class OrganisationLimiterTest {
    private static final double MAX_RATIO = 1.1;

    private static double admittedRatio(int count, int domains, long seed, IntToDoubleFunction demand) {
        final EntryFleet fleet = new EntryFleet(count, domains, seed);
        fleet.run(25, demand, index -> true, index -> true);
        return fleet.run(20, demand, index -> true, index -> true);
    }

    @Property(tries = 12, seed = "11")
    void shouldKeepTheLimitOverTwoAndThreeEntries(
            @ForAll long seed,
            @ForAll @DoubleRange(min = 0.05, max = 0.95) double firstShare,
            @ForAll @DoubleRange(min = 1.5, max = 5) double load) {
        final double totalDemand = load * EntryFleet.LIMIT_PER_SECOND;
        final double ratioOfTwo = admittedRatio(
                2, 1, seed, index -> index == 0 ? firstShare * totalDemand : (1 - firstShare) * totalDemand);
        assertThat(ratioOfTwo).isAtMost(MAX_RATIO);
        assertThat(ratioOfTwo).isAtLeast(0.9);
        final double ratioOfThree = admittedRatio(
                3, 1, seed, index -> index == 0 ? firstShare * totalDemand : (1 - firstShare) * totalDemand / 2);
        assertThat(ratioOfThree).isAtMost(MAX_RATIO);
        assertThat(ratioOfThree).isAtLeast(0.9);
    }

    @Example
    void shouldKeepTheLimitOverTwoHundredEntriesInFourDomains() {
        for (long seed = 1; seed <= 3; seed++) {
            // A tenth of the entries receives half of the demand.
            final double maxRatio =
                    admittedRatio(200, 4, seed, index -> EntryFleet.LIMIT_PER_SECOND * (index < 20 ? 0.05 : 1.0 / 180));
            assertThat(maxRatio).isAtMost(MAX_RATIO);
            assertThat(maxRatio).isAtLeast(0.9);
        }
    }

    /** Guards against rejections of an organisation that stays below its limit. */
    @Example
    void shouldAdmitDemandBelowTheLimit() {
        final double admitted =
                admittedRatio(3, 1, 1, index -> EntryFleet.LIMIT_PER_SECOND * 0.8 * (index == 0 ? 0.8 : 0.1));
        assertThat(admitted).isAtLeast(0.75);
    }

    /**
     * Guards against granting a share twice while demand shifts to another entry, and against leaving it unused after.
     */
    @Example
    void shouldKeepTheLimitWhileDemandShifts() {
        final EntryFleet fleet = new EntryFleet(3, 1, 5);
        fleet.run(25, index -> index == 0 ? 3_000 : 0, index -> true, index -> true);
        final double maxRatio = fleet.run(20, index -> index == 1 ? 3_000 : 0, index -> true, index -> true);
        assertThat(maxRatio).isAtMost(MAX_RATIO);
        assertThat(fleet.lastWindowRatio()).isAtLeast(0.9);
    }

    /** Guards against a share that stays unused when its entry is lost, and against one that is granted twice. */
    @Example
    void shouldReassignTheShareOfALostEntry() {
        final EntryFleet fleet = new EntryFleet(3, 1, 6);
        fleet.run(25, index -> 1_000, index -> true, index -> true);
        double maxRatio = fleet.run(10, index -> 1_500, index -> index > 0, index -> true);
        fleet.setEntryCount(2);
        maxRatio = Math.max(maxRatio, fleet.run(20, index -> 1_500, index -> index > 0, index -> true));
        assertThat(maxRatio).isAtMost(MAX_RATIO);
        assertThat(fleet.lastWindowRatio()).isAtLeast(0.9);
    }

    /** Guards against shares that exceed the limit when some or all entries stop receiving summaries. */
    @Example
    void shouldFallBackToEqualSharesWhenSummariesAreLost() {
        final IntToDoubleFunction demand = index -> index == 0 ? 2_500 : 800;
        final EntryFleet fleet = new EntryFleet(3, 1, 7);
        fleet.run(25, demand, index -> true, index -> true);
        final double ratioWithOneDisconnected = fleet.run(30, demand, index -> true, index -> index != 2);
        assertThat(ratioWithOneDisconnected).isAtMost(MAX_RATIO);
        assertThat(fleet.lastWindowRatio()).isAtLeast(0.9);
        final double ratioWithAllDisconnected = fleet.run(30, demand, index -> true, index -> false);
        assertThat(ratioWithAllDisconnected).isAtMost(MAX_RATIO);
        assertThat(fleet.lastWindowRatio()).isAtLeast(0.9);
    }

    /** Guards against a limit of any kind that is parsed but not enforced. */
    @Example
    void shouldEnforceEachLimit() {
        final double unlimited = Double.POSITIVE_INFINITY;
        assertThat(reasonForSecondRequest(new Limits(1, unlimited, unlimited, unlimited)))
                .isEqualTo(RejectionReason.REQUEST_LIMIT);
        assertThat(reasonForSecondRequest(new Limits(unlimited, 100, unlimited, unlimited)))
                .isEqualTo(RejectionReason.TOKEN_LIMIT);
        assertThat(reasonForSecondRequest(new Limits(unlimited, unlimited, 1, unlimited)))
                .isEqualTo(RejectionReason.CONCURRENCY_LIMIT);
        assertThat(reasonForSecondRequest(new Limits(unlimited, unlimited, unlimited, 100)))
                .isEqualTo(RejectionReason.SPEND_LIMIT);
    }

    private static RejectionReason reasonForSecondRequest(Limits limits) {
        final OrganisationLimiter limiter = OrganisationLimiter.of("entry", "domain");
        assertThat(limiter.admit("a", limits, 100, 100, 1)).isEqualTo(new LimitDecision.Admitted());
        assertThat(limiter.admit("b", limits, 100, 100, 1)).isEqualTo(new LimitDecision.Admitted());
        final LimitDecision.Exceeded exceeded = (LimitDecision.Exceeded) limiter.admit("a", limits, 100, 100, 2);
        assertThat(exceeded.retryAfterNanos()).isGreaterThan(0L);
        limiter.release("a", 0, 0, 2);
        assertThat(limiter.admit("a", limits, 100, 100, 2 + exceeded.retryAfterNanos()))
                .isEqualTo(new LimitDecision.Admitted());
        return exceeded.reason();
    }

    /** Guards against many entries that each round up their share of a small concurrency limit. */
    @Example
    void shouldKeepASmallConcurrencyLimitOnAverage() {
        final Limits limits =
                new Limits(Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, 5, Double.POSITIVE_INFINITY);
        double running = 0;
        for (int entry = 0; entry < 20; entry++) {
            final OrganisationLimiter limiter = OrganisationLimiter.of("entry-" + entry, "domain");
            limiter.setEntryCount(20);
            long busyUntil = -1;
            for (long second = 0; second < 400; second++) {
                if (busyUntil == second) {
                    limiter.release("a", 0, 0, second * Requests.SECOND_NANOS);
                    busyUntil = -1;
                }
                if (limiter.admit("a", limits, 1, 0, second * Requests.SECOND_NANOS)
                        instanceof LimitDecision.Admitted) {
                    busyUntil = second + 2;
                }
                running += busyUntil >= 0 ? 1 : 0;
            }
        }
        assertThat(running / 400).isWithin(0.5).of(5);
    }
}
