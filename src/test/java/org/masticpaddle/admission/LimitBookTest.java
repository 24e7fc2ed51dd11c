package org.masticpaddle.admission;

import java.util.function.IntToDoubleFunction;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.masticpaddle.document.Limits;

import static com.google.common.truth.Truth.assertThat;

/** Guards against limits that are exceeded, or not reached, because no entry sees the demand at the others. */
class LimitBookTest {
    private static final double MOST = 1.1;

    private static double steady(int count, int domains, long seed, IntToDoubleFunction demand) {
        final EntryFleet fleet = new EntryFleet(count, domains, seed);
        fleet.run(25, demand, index -> true, index -> true);
        return fleet.run(20, demand, index -> true, index -> true);
    }

    @Property(tries = 12, seed = "11")
    void shouldKeepTheLimitOverTwoAndThreeEntries(
            @ForAll long seed,
            @ForAll @DoubleRange(min = 0.05, max = 0.95) double part,
            @ForAll @DoubleRange(min = 1.5, max = 5) double load) {
        final double all = load * EntryFleet.LIMIT;
        final double two = steady(2, 1, seed, index -> index == 0 ? part * all : (1 - part) * all);
        assertThat(two).isAtMost(MOST);
        assertThat(two).isAtLeast(0.9);
        final double three = steady(3, 1, seed, index -> index == 0 ? part * all : (1 - part) * all / 2);
        assertThat(three).isAtMost(MOST);
        assertThat(three).isAtLeast(0.9);
    }

    @Example
    void shouldKeepTheLimitOverTwoHundredEntriesInFourDomains() {
        for (long seed = 1; seed <= 3; seed++) {
            // A tenth of the entries has half of the demand.
            final double most = steady(200, 4, seed, index -> EntryFleet.LIMIT * (index < 20 ? 0.05 : 1.0 / 180));
            assertThat(most).isAtMost(MOST);
            assertThat(most).isAtLeast(0.9);
        }
    }

    /** Guards against refusals of an organisation that stays below its limit. */
    @Example
    void shouldAdmitDemandBelowTheLimit() {
        final double admitted = steady(3, 1, 1, index -> EntryFleet.LIMIT * 0.8 * (index == 0 ? 0.8 : 0.1));
        assertThat(admitted).isAtLeast(0.75);
    }

    /** Guards against a double share while demand moves: the new entry waits, the old one does not keep its share. */
    @Example
    void shouldKeepTheLimitWhileDemandMoves() {
        final EntryFleet fleet = new EntryFleet(3, 1, 5);
        fleet.run(25, index -> index == 0 ? 3_000 : 0, index -> true, index -> true);
        final double most = fleet.run(20, index -> index == 1 ? 3_000 : 0, index -> true, index -> true);
        assertThat(most).isAtMost(MOST);
        assertThat(fleet.last()).isAtLeast(0.9);
    }

    /** Guards against a share that is lost with its entry, and against one that is given out twice. */
    @Example
    void shouldPassOnTheShareOfADeadEntry() {
        final EntryFleet fleet = new EntryFleet(3, 1, 6);
        fleet.run(25, index -> 1_000, index -> true, index -> true);
        double most = fleet.run(10, index -> 1_500, index -> index > 0, index -> true);
        fleet.members(2);
        most = Math.max(most, fleet.run(20, index -> 1_500, index -> index > 0, index -> true));
        assertThat(most).isAtMost(MOST);
        assertThat(fleet.last()).isAtLeast(0.9);
    }

    /** Guards against shares above the limit when all, or only some, entries stop receiving summaries. */
    @Example
    void shouldFallBackToEqualSharesWhenSummariesAreLost() {
        final IntToDoubleFunction demand = index -> index == 0 ? 2_500 : 800;
        final EntryFleet fleet = new EntryFleet(3, 1, 7);
        fleet.run(25, demand, index -> true, index -> true);
        final double some = fleet.run(30, demand, index -> true, index -> index != 2);
        assertThat(some).isAtMost(MOST);
        assertThat(fleet.last()).isAtLeast(0.9);
        final double none = fleet.run(30, demand, index -> true, index -> false);
        assertThat(none).isAtMost(MOST);
        assertThat(fleet.last()).isAtLeast(0.9);
    }

    /** Guards against a limit of any kind that is parsed but not enforced. */
    @Example
    void shouldEnforceEachLimit() {
        final double none = Double.POSITIVE_INFINITY;
        assertThat(second(new Limits(1, none, none, none))).isEqualTo(RejectionReason.REQUEST_LIMIT);
        assertThat(second(new Limits(none, 100, none, none))).isEqualTo(RejectionReason.TOKEN_LIMIT);
        assertThat(second(new Limits(none, none, 1, none))).isEqualTo(RejectionReason.CONCURRENCY_LIMIT);
        assertThat(second(new Limits(none, none, none, 100))).isEqualTo(RejectionReason.SPEND_LIMIT);
    }

    private static RejectionReason second(Limits limits) {
        final OrganisationLimiter book = OrganisationLimiter.of("entry", "domain");
        assertThat(book.admit("a", limits, 100, 100, 1)).isEqualTo(new LimitDecision.Admitted());
        assertThat(book.admit("b", limits, 100, 100, 1)).isEqualTo(new LimitDecision.Admitted());
        final LimitDecision.Exceeded exceeded = (LimitDecision.Exceeded) book.admit("a", limits, 100, 100, 2);
        assertThat(exceeded.retryAfterNanos()).isGreaterThan(0L);
        book.release("a", 0, 0, 2);
        assertThat(book.admit("a", limits, 100, 100, 2 + exceeded.retryAfterNanos()))
                .isEqualTo(new LimitDecision.Admitted());
        return exceeded.reason();
    }

    /** Guards against many entries whose parts of a small concurrency limit are all rounded up. */
    @Example
    void shouldKeepASmallConcurrencyLimitOnAverage() {
        final Limits limits =
                new Limits(Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, 5, Double.POSITIVE_INFINITY);
        double running = 0;
        for (int entry = 0; entry < 20; entry++) {
            final OrganisationLimiter book = OrganisationLimiter.of("entry-" + entry, "domain");
            book.setEntryCount(20);
            long busyUntil = -1;
            for (long second = 0; second < 400; second++) {
                if (busyUntil == second) {
                    book.release("a", 0, 0, second * Requests.SECOND);
                    busyUntil = -1;
                }
                if (book.admit("a", limits, 1, 0, second * Requests.SECOND) instanceof LimitDecision.Admitted) {
                    busyUntil = second + 2;
                }
                running += busyUntil >= 0 ? 1 : 0;
            }
        }
        assertThat(running / 400).isWithin(0.5).of(5);
    }
}
