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
        state.onUnreachable(0);
        assertThat(state.open(1)).isFalse();
        assertThat(state.open(SECOND)).isTrue();
        final InFlightRequest trial = state.assign("", List.of(), 0, 0, 0, SECOND);
        assertThat(state.open(SECOND)).isFalse();
        state.release(trial);
        state.onSuccess(0, 0);
        assertThat(state.open(SECOND)).isTrue();
    }

    @Test
    void shouldStayClosedForLongerWithEachFailure() {
        for (int count = 0; count < 5; count++) {
            state.onUnreachable(0);
        }
        assertThat(state.open(2 * SECOND)).isFalse();
        assertThat(state.open(3 * SECOND)).isTrue();
    }

    @Test
    void shouldCountOnlyPromptsThatAreNotRead() {
        final InFlightRequest first = state.assign("m", List.of(), 100, 40, 0, 0);
        state.assign("m", List.of(), 100, 60, 0, 0);
        assertThat(state.prefillBacklogMillis()).isEqualTo(100.0);
        state.onAnswerStart(first);
        assertThat(state.prefillBacklogMillis()).isEqualTo(60.0);
    }

    @Test
    void shouldEstimateTheRequestsOfOtherGateways() {
        state.assign("", List.of(), 0, 0, 0, 0);
        state.onLoadReport(new ReportedLoad(4, 2, 8), 0);
        assertThat(state.inFlightOfOtherGateways(1)).isEqualTo(5);
        assertThat(state.inFlightOfOtherGateways(3 * SECOND)).isEqualTo(0);
    }

    @Test
    void shouldTellSilenceOnlyOfUpstreamsWithWork() {
        assertThat(state.unresponsiveNanos(SECOND)).isEqualTo(0);
        state.assign("", List.of(), 0, 0, 0, SECOND);
        assertThat(state.unresponsiveNanos(3 * SECOND)).isEqualTo(2 * SECOND);
        state.recordActivity(3 * SECOND);
        assertThat(state.unresponsiveNanos(3 * SECOND)).isEqualTo(0);
    }
}
