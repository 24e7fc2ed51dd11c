package org.masticpaddle.fleet;

import java.util.List;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against requests to unreachable upstreams, and against a circuit that stays open although the upstream is
 * healthy.
 */
class UpstreamStateTest {
    private static final long SECOND_NANOS = 1_000_000_000L;

    private final UpstreamState state = new UpstreamState(UpstreamRegistryTest.upstream("a", 1, false), 0);

    @Test
    void shouldOpenTheCircuitAfterAFailureAndAllowOneProbeLater() {
        state.onUnreachable(0);
        assertThat(state.allowsRequest(1)).isFalse();
        assertThat(state.allowsRequest(SECOND_NANOS)).isTrue();
        final InFlightRequest probe = state.assign("", List.of(), 0, 0, 0, SECOND_NANOS);
        assertThat(state.allowsRequest(SECOND_NANOS)).isFalse();
        state.release(probe);
        state.onSuccess(0, 0);
        assertThat(state.allowsRequest(SECOND_NANOS)).isTrue();
    }

    @Test
    void shouldAllowAnotherProbeAfterOneThatEndedWithoutResult() {
        state.onUnreachable(0);
        final InFlightRequest cancelled = state.assign("", List.of(), 0, 0, 0, SECOND_NANOS);
        state.release(cancelled);
        assertThat(state.allowsRequest(SECOND_NANOS)).isTrue();
    }

    @Test
    void shouldCloseTheCircuitWhenTheUpstreamAnswersThatItDidNotRunTheProbe() {
        state.onUnreachable(0);
        final InFlightRequest rejected = state.assign("", List.of(), 0, 0, 0, SECOND_NANOS);
        state.onNotRun();
        state.release(rejected);
        state.assign("", List.of(), 0, 0, 0, SECOND_NANOS);
        assertThat(state.allowsRequest(SECOND_NANOS)).isTrue();
    }

    @Test
    void shouldOpenTheCircuitForLongerWithEachFailure() {
        for (int count = 0; count < 5; count++) {
            state.onUnreachable(0);
        }
        assertThat(state.allowsRequest(2 * SECOND_NANOS)).isFalse();
        assertThat(state.allowsRequest(3 * SECOND_NANOS)).isTrue();
    }

    @Test
    void shouldCountOnlyRequestsWithoutAnAnswerInTheBacklog() {
        final InFlightRequest first = state.assign("m", List.of(), 100, 40, 0, 0);
        state.assign("m", List.of(), 100, 60, 0, 0);
        assertThat(state.prefillBacklogMillis()).isEqualTo(100.0);
        state.onAnswerStart(first);
        assertThat(state.prefillBacklogMillis()).isEqualTo(60.0);
    }

    @Test
    void shouldEstimateTheRequestsOfOtherGatewaysFromARecentReport() {
        state.assign("", List.of(), 0, 0, 0, 0);
        state.onLoadReport(new ReportedLoad(4, 2, 8), 0);
        assertThat(state.inFlightOfOtherGateways(1)).isEqualTo(5);
        assertThat(state.inFlightOfOtherGateways(3 * SECOND_NANOS)).isEqualTo(0);
    }

    @Test
    void shouldMeasureUnresponsivenessOnlyWithRequestsInFlight() {
        assertThat(state.unresponsiveNanos(SECOND_NANOS)).isEqualTo(0);
        state.assign("", List.of(), 0, 0, 0, SECOND_NANOS);
        assertThat(state.unresponsiveNanos(3 * SECOND_NANOS)).isEqualTo(2 * SECOND_NANOS);
        state.recordActivity(3 * SECOND_NANOS);
        assertThat(state.unresponsiveNanos(3 * SECOND_NANOS)).isEqualTo(0);
    }
}
