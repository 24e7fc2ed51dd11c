package org.masticpaddle.fleet;

import java.net.URI;

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

    static Upstream upstream(String id, long startMillis, boolean draining) {
        return new Upstream(id, "s", URI.create("http://127.0.0.1:1"), "d", "v1", 8, draining, startMillis, 0);
    }
}
