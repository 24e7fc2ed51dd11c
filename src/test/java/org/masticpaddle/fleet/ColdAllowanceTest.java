package org.masticpaddle.fleet;

import java.util.List;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against an upstream that is cold and counts as warm, and the other way round. */
class ColdAllowanceTest {
    private static final long SECOND = 1_000_000_000L;
    private static final ColdLimit LIMIT = new ColdLimit(3, 10, 1.5, 5);

    private final UpstreamRegistry registry = new UpstreamRegistry(0);

    @Test
    void shouldBeColdForTimeThatEntryStates() {
        final UpstreamState state = listed("a", 1, 2_000, 0);
        state.cold().setLimit(LIMIT, 0, 0, 0);
        assertThat(state.availability(0)).isEqualTo(Availability.NO_COLD_PERMIT);
        assertThat(state.availability(0).temporary()).isTrue();
        assertThat(state.places(0)).isEqualTo(0);
        assertThat(state.availability(2 * SECOND)).isEqualTo(Availability.AVAILABLE);
        assertThat(state.places(2 * SECOND)).isEqualTo(Integer.MAX_VALUE);
    }

    @Test
    void shouldTurnColdAndWarmAsEntryChanges() {
        final UpstreamState state = listed("a", 1, 0, 0);
        state.cold().setLimit(LIMIT, 0, 0, 0);
        assertThat(state.cold().cold(0)).isFalse();
        listed("a", 1, 60_000, SECOND);
        assertThat(state.cold().cold(SECOND)).isTrue();
        listed("a", 1, 0, 2 * SECOND);
        assertThat(state.cold().cold(2 * SECOND)).isFalse();
    }

    @Test
    void shouldTurnColdByReportUntilItsTimeAlthoughEntryDoesNotSaySo() {
        final UpstreamState state = listed("a", 1, 0, 0);
        state.cold().setLimit(LIMIT, 0, 0, 0);
        state.onReport(SelfReports.cold(1_500), false, false, SECOND);
        listed("a", 1, 0, SECOND + 1);
        assertThat(state.cold().cold(2 * SECOND)).isTrue();
        assertThat(state.cold().cold(3 * SECOND)).isFalse();
    }

    @Test
    void shouldBeColdWhenItsDomainIsInUseAgain() {
        final UpstreamState state = listed("a", 1, 0, 0);
        state.cold().setLimit(LIMIT, 0, 0, 0);
        final String domain = state.upstream().failureDomain();
        registry.evacuate(domain, 1);
        registry.restore(domain, 2, SECOND);
        assertThat(state.cold().leftNanos(SECOND)).isEqualTo(3 * SECOND);
    }

    @Test
    void shouldBeColdAfterItWasLostButNotAfterOneBrokenConnection() {
        final UpstreamState state = listed("a", 1, 0, 0);
        state.cold().setLimit(LIMIT, 0, 0, 0);
        state.onUnreachable(SECOND);
        assertThat(state.cold().cold(SECOND)).isFalse();
        state.tripCircuit(2 * SECOND);
        assertThat(state.cold().leftNanos(2 * SECOND)).isEqualTo(3 * SECOND);
    }

    @Test
    void shouldBeColdAfterStartDuringTrafficAlsoIfNothingSaysSo() {
        final UpstreamState present = listed("present", 1, 0, 0);
        registry.markListed();
        final UpstreamState added = listed("added", 1, 0, SECOND);
        listed("present", 2, 0, SECOND);
        for (final UpstreamState state : List.of(present, added)) {
            state.cold().setLimit(LIMIT, 0, 0, SECOND);
            assertThat(state.cold().leftNanos(SECOND)).isEqualTo(3 * SECOND);
            assertThat(state.cold().cold(4 * SECOND)).isFalse();
        }
    }

    @Test
    void shouldNotBeColdAtFirstListing() {
        final UpstreamState state = listed("a", 1, 0, 0);
        state.cold().setLimit(LIMIT, 0, 0, 0);
        assertThat(state.cold().cold(0)).isFalse();
    }

    @Test
    void shouldLimitNothingWithoutLimit() {
        registry.markListed();
        final UpstreamState state = listed("a", 1, 2_000, 0);
        for (final ColdLimit none : List.of(ColdLimit.NONE, new ColdLimit(3, 0, 1.5, 5), new ColdLimit(3, 10, 0, 5))) {
            state.cold().setLimit(none, 0, 0, 0);
            assertThat(state.cold().cold(0)).isFalse();
            assertThat(state.places(0)).isEqualTo(Integer.MAX_VALUE);
        }
    }

    @Test
    void shouldTakePermitWithEachRequest() {
        final UpstreamState state = listed("a", 1, 10_000, 0);
        state.cold().setLimit(LIMIT, 10, 0.999, 0);
        assertThat(state.places(0)).isEqualTo(0);
        final long now = SECOND / 100;
        assertThat(state.places(now)).isEqualTo(1);
        state.assign("", List.of(), 0, 0, 0, now);
        assertThat(state.availability(now)).isEqualTo(Availability.NO_COLD_PERMIT);
        // A permit that is not used soon expires.
        assertThat(state.places(5 * SECOND)).isAtMost(2);
    }

    private UpstreamState listed(String id, long startMillis, long coldLeftMillis, long now) {
        final Upstream upstream = UpstreamRegistryTest.upstream(id, startMillis, false);
        registry.applyEntry(
                new Upstream(
                        upstream.id(),
                        upstream.service(),
                        upstream.origin(),
                        upstream.failureDomain(),
                        upstream.version(),
                        upstream.slots(),
                        false,
                        startMillis,
                        coldLeftMillis),
                now);
        return registry.find(id).orElseThrow();
    }
}
