package org.masticpaddle.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.masticpaddle.wire.Json;

import static com.google.common.truth.Truth.assertThat;

/** Guards against summaries that count an entry twice, grow without limit or keep the demand of a lost entry. */
class DemandSummaryTest {
    private static DemandRow row(String origin, long stamp, long ageMillis) {
        return new DemandRow(origin, "domain", false, stamp, ageMillis, 1, Map.of("a", new Demand(stamp, 2, 3, 4)));
    }

    private static DemandSummary random(UniformRandomProvider random) {
        final List<DemandRow> rows = new ArrayList<>();
        for (int count = random.nextInt(400); count > 0; count--) {
            rows.add(row("entry-" + random.nextInt(500), random.nextInt(20), random.nextInt(3)));
        }
        return new DemandSummary(rows);
    }

    @Property(tries = 200, seed = "21")
    void shouldMergeCommutativelyAssociativelyAndIdempotently(@ForAll long seed) {
        final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        final DemandSummary first = random(random);
        final DemandSummary second = random(random);
        final DemandSummary third = random(random);
        assertThat(first.merge(second)).isEqualTo(second.merge(first));
        assertThat(first.merge(second).merge(third)).isEqualTo(first.merge(second.merge(third)));
        assertThat(first.merge(second).merge(second)).isEqualTo(first.merge(second));
        assertThat(first.merge(second).rows().size()).isAtMost(DemandSummary.MAX_ROWS);
    }

    /** Guards against rows of lost entries that circulate between relays forever. */
    @Example
    void shouldExpireRowsThatRelaysExchange() {
        final DemandView firstView = DemandView.create();
        final DemandView secondView = DemandView.create();
        firstView.receive(new DemandSummary(List.of(row("dead", 1, 0))), 0);
        for (long second = 1; second <= 7; second++) {
            final long now = second * Requests.SECOND_NANOS;
            secondView.receive(firstView.summary(now), now);
            firstView.receive(secondView.summary(now), now);
        }
        assertThat(firstView.summary(7 * Requests.SECOND_NANOS).rows()).isEmpty();
        assertThat(secondView.summary(7 * Requests.SECOND_NANOS).rows()).isEmpty();
    }

    @Example
    void shouldAggregateADomainAndRoundTripThroughJson() {
        final DemandSummary summary = new DemandSummary(List.of(row("x", 1, 0), row("y", 2, 5)));
        final DemandRow aggregated = summary.aggregate("domain", 9);
        assertThat(aggregated.entries()).isEqualTo(2);
        assertThat(aggregated.ageMillis()).isEqualTo(5);
        assertThat(aggregated.demands().get("a").requests()).isEqualTo(3);
        assertThat(Json.decode(Json.encode(summary), DemandSummary.class)).isEqualTo(summary);
    }

    @Example
    void shouldLimitTheOrganisationsOfARow() {
        final Map<String, Demand> demands = new HashMap<>();
        for (int index = 0; index < 1_000; index++) {
            demands.put("o" + index, new Demand(index, 0, 0, 0));
        }
        final DemandRow row = new DemandRow("x", "domain", false, 1, 0, 1, demands);
        assertThat(row.demands()).hasSize(DemandRow.MAX_ORGANISATIONS);
        assertThat(row.demands()).containsKey("o999");
    }
}
