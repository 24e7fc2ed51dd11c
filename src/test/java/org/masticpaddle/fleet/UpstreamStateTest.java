package org.masticpaddle.fleet;

import java.util.List;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against work for upstreams that cannot be reached and against closing sound ones for good. */
class UpstreamStateTest {
    private static final long SECOND = 1_000_000_000L;

    private final UpstreamState state = new UpstreamState(UpstreamRosterTest.upstream("a", 1, false), 0);

    @Test
    void shouldCloseAfterAFailureAndAllowOneTrialLater() {
        state.unreachable(0);
        assertThat(state.open(1)).isFalse();
        assertThat(state.open(SECOND)).isTrue();
        final Assignment trial = state.assign("", List.of(), 0, 0, 0, SECOND);
        assertThat(state.open(SECOND)).isFalse();
        state.release(trial);
        state.succeeded(0, 0);
        assertThat(state.open(SECOND)).isTrue();
    }

    @Test
    void shouldStayClosedForLongerWithEachFailure() {
        for (int count = 0; count < 5; count++) {
            state.unreachable(0);
        }
        assertThat(state.open(2 * SECOND)).isFalse();
        assertThat(state.open(3 * SECOND)).isTrue();
    }

    @Test
    void shouldCountOnlyPromptsThatAreNotRead() {
        final Assignment first = state.assign("m", List.of(), 100, 40, 0, 0);
        state.assign("m", List.of(), 100, 60, 0, 0);
        assertThat(state.backlogMillis()).isEqualTo(100.0);
        state.started(first);
        assertThat(state.backlogMillis()).isEqualTo(60.0);
    }

    @Test
    void shouldEstimateTheRequestsOfOtherGateways() {
        state.assign("", List.of(), 0, 0, 0, 0);
        state.reported(new LoadFigures(4, 2, 8), 0);
        assertThat(state.others(1)).isEqualTo(5);
        assertThat(state.others(3 * SECOND)).isEqualTo(0);
    }

    @Test
    void shouldTellSilenceOnlyOfUpstreamsWithWork() {
        assertThat(state.silentNanos(SECOND)).isEqualTo(0);
        state.assign("", List.of(), 0, 0, 0, SECOND);
        assertThat(state.silentNanos(3 * SECOND)).isEqualTo(2 * SECOND);
        state.heard(3 * SECOND);
        assertThat(state.silentNanos(3 * SECOND)).isEqualTo(0);
    }
}
