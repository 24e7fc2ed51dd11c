package org.masticpaddle.fleet;

import java.net.URI;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against work for upstreams that left, and against losing live ones whose entries lapsed in an outage. */
class UpstreamRosterTest {
    private static final long RETURN_NANOS = 2_000_000_000L;

    private final UpstreamRoster roster = new UpstreamRoster(RETURN_NANOS);

    @Test
    void shouldOfferListedUpstreamsOfTheService() {
        assertThat(roster.listed(upstream("a", 1, false), 0)).isEqualTo(RosterChange.ADDED);
        assertThat(roster.listed(upstream("a", 1, false), 1)).isEqualTo(RosterChange.UNCHANGED);
        assertThat(roster.members("s")).hasSize(1);
        assertThat(roster.members("other")).isEmpty();
    }

    @Test
    void shouldOfferNoLeavingUpstream() {
        roster.listed(upstream("a", 1, false), 0);
        assertThat(roster.listed(upstream("a", 1, true), 1)).isEqualTo(RosterChange.LEAVING);
        assertThat(roster.members("s")).isEmpty();
    }

    @Test
    void shouldDropARemovedUpstreamAtOnce() {
        roster.listed(upstream("a", 1, false), 0);
        assertThat(roster.removed("a", 1)).isEqualTo(RosterChange.REMOVED);
        assertThat(roster.members("s")).isEmpty();
    }

    @Test
    void shouldKeepALapsedUpstreamUntilTheTimeToReturnIsOver() {
        roster.listed(upstream("a", 1, false), 0);
        roster.outageBegan();
        roster.outageEnded(10);
        assertThat(roster.removed("a", 11)).isEqualTo(RosterChange.LAPSED);
        assertThat(roster.members("s")).hasSize(1);
        assertThat(roster.expire(10 + RETURN_NANOS - 1)).isEmpty();
        assertThat(roster.expire(10 + RETURN_NANOS)).containsExactly("a");
        assertThat(roster.members("s")).isEmpty();
    }

    @Test
    void shouldKeepAnUpstreamThatIsListedAgain() {
        roster.listed(upstream("a", 1, false), 0);
        roster.outageBegan();
        roster.outageEnded(10);
        roster.removed("a", 11);
        assertThat(roster.listed(upstream("a", 1, false), 12)).isEqualTo(RosterChange.ADDED);
        assertThat(roster.expire(10 + RETURN_NANOS)).isEmpty();
    }

    @Test
    void shouldIgnoreAnEntryOfAnEarlierLife() {
        roster.listed(upstream("a", 5, false), 0);
        assertThat(roster.listed(upstream("a", 4, true), 1)).isEqualTo(RosterChange.STALE);
        assertThat(roster.members("s")).hasSize(1);
    }

    @Test
    void shouldForgetTheCacheOfAnEarlierLife() {
        roster.listed(upstream("a", 5, false), 0);
        final UpstreamState state = roster.find("a").orElseThrow();
        final java.util.List<PromptPart> prompt = java.util.List.of(new PromptPart("p", 100));
        state.assign("m", prompt, 100, 10, 10_000, 0);
        assertThat(state.unreadTokens("m", prompt, 100)).isEqualTo(1);
        assertThat(roster.listed(upstream("a", 6, false), 1)).isEqualTo(RosterChange.REBORN);
        assertThat(state.unreadTokens("m", prompt, 100)).isEqualTo(100);
    }

    static Upstream upstream(String id, long born, boolean leaving) {
        return new Upstream(id, "s", URI.create("http://127.0.0.1:1"), "d", "v1", 8, leaving, born);
    }
}
