package org.masticpaddle.fleet;

import java.net.URI;
import java.util.List;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against requests to draining or removed upstreams, and against losing live ones whose entries lapsed in an
 * outage.
 */
class UpstreamRegistryTest {
    private static final long GRACE_PERIOD_NANOS = 2_000_000_000L;

    private final UpstreamRegistry registry = new UpstreamRegistry(GRACE_PERIOD_NANOS);

    @Test
    void shouldReturnListedUpstreamsOfTheService() {
        assertThat(registry.applyEntry(upstream("a", 1, false), 0)).isEqualTo(RegistryChange.ADDED);
        assertThat(registry.applyEntry(upstream("a", 1, false), 1)).isEqualTo(RegistryChange.UNCHANGED);
        assertThat(registry.members("s")).hasSize(1);
        assertThat(registry.members("other")).isEmpty();
    }

    @Test
    void shouldExcludeDrainingUpstreams() {
        registry.applyEntry(upstream("a", 1, false), 0);
        assertThat(registry.applyEntry(upstream("a", 1, true), 1)).isEqualTo(RegistryChange.LEAVING);
        assertThat(registry.members("s")).isEmpty();
    }

    @Test
    void shouldRemoveAnUpstreamAtOnceOutsideOfTheGracePeriod() {
        registry.applyEntry(upstream("a", 1, false), 0);
        assertThat(registry.applyRemoval("a", 1)).isEqualTo(RegistryChange.REMOVED);
        assertThat(registry.members("s")).isEmpty();
    }

    @Test
    void shouldKeepALapsedUpstreamUntilTheGracePeriodEnds() {
        registry.applyEntry(upstream("a", 1, false), 0);
        registry.onOutageStart();
        registry.onOutageEnd(10);
        assertThat(registry.applyRemoval("a", 11)).isEqualTo(RegistryChange.LAPSED);
        assertThat(registry.members("s")).hasSize(1);
        assertThat(registry.expire(10 + GRACE_PERIOD_NANOS - 1)).isEmpty();
        assertThat(registry.expire(10 + GRACE_PERIOD_NANOS)).containsExactly("a");
        assertThat(registry.members("s")).isEmpty();
    }

    @Test
    void shouldKeepAnUpstreamWhoseEntryIsRenewed() {
        registry.applyEntry(upstream("a", 1, false), 0);
        registry.onOutageStart();
        registry.onOutageEnd(10);
        registry.applyRemoval("a", 11);
        assertThat(registry.applyEntry(upstream("a", 1, false), 12)).isEqualTo(RegistryChange.ADDED);
        assertThat(registry.expire(10 + GRACE_PERIOD_NANOS)).isEmpty();
    }

    @Test
    void shouldIgnoreAnEntryOfAnEarlierIncarnation() {
        registry.applyEntry(upstream("a", 5, false), 0);
        assertThat(registry.applyEntry(upstream("a", 4, true), 1)).isEqualTo(RegistryChange.STALE);
        assertThat(registry.members("s")).hasSize(1);
    }

    @Test
    void shouldDiscardTheCacheOfAnEarlierIncarnation() {
        registry.applyEntry(upstream("a", 5, false), 0);
        final UpstreamState state = registry.find("a").orElseThrow();
        final java.util.List<PromptSegment> prompt = java.util.List.of(new PromptSegment("p", 100));
        state.assign("m", prompt, 100, 10, 10_000, 0);
        assertThat(state.cachedTokens("m", prompt)).isEqualTo(100);
        assertThat(registry.applyEntry(upstream("a", 6, false), 1)).isEqualTo(RegistryChange.REBORN);
        assertThat(state.cachedTokens("m", prompt)).isEqualTo(0);
    }

    @Test
    void shouldExcludeAnIncarnationThatIsLeavingAlsoIfItIsListedAgain() {
        registry.applyEntry(upstream("a", 5, false), 0);
        registry.find("a").orElseThrow().markLeaving();
        assertThat(registry.members("s")).isEmpty();
        registry.applyRemoval("a", 1);
        registry.applyEntry(upstream("a", 5, false), 2);
        assertThat(registry.members("s")).isEmpty();
        registry.applyEntry(upstream("a", 6, false), 3);
        assertThat(registry.members("s")).hasSize(1);
    }

    @Test
    void shouldExcludeUpstreamsOfAnEvacuatedFailureDomainThatAreListedBeforeOrLater() {
        registry.applyEntry(upstream("before", 5, false), 0);
        assertThat(registry.evacuate("d", 3)).isEqualTo(EvacuationChange.ORDERED);
        registry.applyEntry(upstream("later", 5, false), 1);
        registry.applyEntry(upstream("later", 6, false), 1);
        registry.applyEntry(upstream("draining", 5, true), 1);
        registry.applyEntry(
                new Upstream("elsewhere", "s", URI.create("http://127.0.0.1:1"), "e", "v1", 8, false, 1, 0), 1);
        assertThat(registry.members("s").stream().map(state -> state.upstream().id()))
                .containsExactly("elsewhere");
        assertThat(registry.evacuated("s").stream()
                        .map(state -> state.upstream().id()))
                .containsExactly("before", "later");
        assertThat(registry.upstreamsIn("d")).hasSize(3);
        assertThat(registry.evacuatedDomains()).containsExactly("d");
        assertThat(registry.restore("d", 2, 2)).isEqualTo(EvacuationChange.STALE);
        assertThat(registry.restore("d", 4, 4)).isEqualTo(EvacuationChange.WITHDRAWN);
        assertThat(registry.members("s")).hasSize(3);
        assertThat(registry.evacuated("s")).isEmpty();
    }

    @Test
    void shouldForgetWhatWasObservedBeforeAnEvacuationButNotAnOpenCircuit() {
        registry.applyEntry(upstream("a", 5, false), 0);
        final UpstreamState state = registry.find("a").orElseThrow();
        final List<PromptSegment> prompt = List.of(new PromptSegment("system", 100));
        state.assign("m", prompt, 100, 10, 1_000, 0);
        state.onReport(SelfReports.load(6, 2, 8), true, false, 0);
        state.onUnreachable(0);
        registry.evacuate("d", 3);
        assertThat(state.cachedTokens("m", prompt)).isEqualTo(100);
        registry.restore("d", 4, 4);
        assertThat(state.cachedTokens("m", prompt)).isEqualTo(0);
        assertThat(state.loadReport().freshness(1)).isEqualTo(0.0);
        assertThat(state.performance().failureRate(1)).isEqualTo(0.0);
        assertThat(state.availability(1)).isEqualTo(Availability.CIRCUIT_OPEN);
        assertThat(state.inFlight()).isEqualTo(1);
    }

    static Upstream upstream(String id, long startMillis, boolean draining) {
        return new Upstream(id, "s", URI.create("http://127.0.0.1:1"), "d", "v1", 8, draining, startMillis, 0);
    }
}
