package org.masticpaddle.fleet;

import java.net.URI;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against work for upstreams that left, and against losing live ones whose entries lapsed in an outage. */
class UpstreamRosterTest {
    private static final long RETURN_NANOS = 2_000_000_000L;

    private final UpstreamRegistry roster = new UpstreamRegistry(RETURN_NANOS);

    @Test
    void shouldOfferListedUpstreamsOfTheService() {
        assertThat(roster.applyEntry(upstream("a", 1, false), 0)).isEqualTo(RegistryChange.ADDED);
        assertThat(roster.applyEntry(upstream("a", 1, false), 1)).isEqualTo(RegistryChange.UNCHANGED);
        assertThat(roster.members("s")).hasSize(1);
        assertThat(roster.members("other")).isEmpty();
    }

    @Test
    void shouldOfferNoLeavingUpstream() {
        roster.applyEntry(upstream("a", 1, false), 0);
        assertThat(roster.applyEntry(upstream("a", 1, true), 1)).isEqualTo(RegistryChange.LEAVING);
        assertThat(roster.members("s")).isEmpty();
    }

    @Test
    void shouldDropARemovedUpstreamAtOnce() {
        roster.applyEntry(upstream("a", 1, false), 0);
        assertThat(roster.applyRemoval("a", 1)).isEqualTo(RegistryChange.REMOVED);
        assertThat(roster.members("s")).isEmpty();
    }

    @Test
    void shouldKeepALapsedUpstreamUntilTheTimeToReturnIsOver() {
        roster.applyEntry(upstream("a", 1, false), 0);
        roster.onOutageStart();
        roster.onOutageEnd(10);
        assertThat(roster.applyRemoval("a", 11)).isEqualTo(RegistryChange.LAPSED);
        assertThat(roster.members("s")).hasSize(1);
        assertThat(roster.expire(10 + RETURN_NANOS - 1)).isEmpty();
        assertThat(roster.expire(10 + RETURN_NANOS)).containsExactly("a");
        assertThat(roster.members("s")).isEmpty();
    }

    @Test
    void shouldKeepAnUpstreamThatIsListedAgain() {
        roster.applyEntry(upstream("a", 1, false), 0);
        roster.onOutageStart();
        roster.onOutageEnd(10);
        roster.applyRemoval("a", 11);
        assertThat(roster.applyEntry(upstream("a", 1, false), 12)).isEqualTo(RegistryChange.ADDED);
        assertThat(roster.expire(10 + RETURN_NANOS)).isEmpty();
    }

    @Test
    void shouldIgnoreAnEntryOfAnEarlierLife() {
        roster.applyEntry(upstream("a", 5, false), 0);
        assertThat(roster.applyEntry(upstream("a", 4, true), 1)).isEqualTo(RegistryChange.STALE);
        assertThat(roster.members("s")).hasSize(1);
    }

    @Test
    void shouldForgetTheCacheOfAnEarlierLife() {
        roster.applyEntry(upstream("a", 5, false), 0);
        final UpstreamState state = roster.find("a").orElseThrow();
        final java.util.List<PromptSegment> prompt = java.util.List.of(new PromptSegment("p", 100));
        state.assign("m", prompt, 100, 10, 10_000, 0);
        assertThat(state.uncachedTokens("m", prompt, 100)).isEqualTo(1);
        assertThat(roster.applyEntry(upstream("a", 6, false), 1)).isEqualTo(RegistryChange.REBORN);
        assertThat(state.uncachedTokens("m", prompt, 100)).isEqualTo(100);
    }

    static Upstream upstream(String id, long born, boolean leaving) {
        return new Upstream(id, "s", URI.create("http://127.0.0.1:1"), "d", "v1", 8, leaving, born);
    }
}
