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

    private final EvacuatedDomains evacuatedDomains = new EvacuatedDomains();
    private final UpstreamState state =
            new UpstreamState(UpstreamRegistryTest.upstream("a", 1, false), evacuatedDomains, 0);

    @Test
    void shouldOpenTheCircuitAfterAFailureAndAllowOneProbeLater() {
        state.onUnreachable(0);
        assertThat(state.allowsRequest(1)).isFalse();
        assertThat(state.allowsRequest(SECOND_NANOS)).isTrue();
        final InFlightRequest probe = state.assign("", List.of(), 0, 0, 0, SECOND_NANOS);
        assertThat(state.allowsRequest(SECOND_NANOS)).isFalse();
        state.release(probe);
        state.onSuccess(0, 0, SECOND_NANOS);
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
        state.onNotRun(SECOND_NANOS);
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
        state.onReport(SelfReports.load(4, 2, 8), true, false, 0);
        assertThat(state.loadReport().inFlightOfOtherGateways(1)).isEqualTo(5);
        assertThat(state.loadReport().inFlightOfOtherGateways(3 * SECOND_NANOS)).isEqualTo(0);
    }

    @Test
    void shouldMeasureUnresponsivenessOnlyWithRequestsInFlight() {
        assertThat(state.unresponsiveNanos(SECOND_NANOS)).isEqualTo(0);
        state.assign("", List.of(), 0, 0, 0, SECOND_NANOS);
        assertThat(state.unresponsiveNanos(3 * SECOND_NANOS)).isEqualTo(2 * SECOND_NANOS);
        state.recordActivity(3 * SECOND_NANOS);
        assertThat(state.unresponsiveNanos(3 * SECOND_NANOS)).isEqualTo(0);
    }

    @Test
    void shouldNeverGetARequestAgainOnceItIsLeaving() {
        assertThat(state.onReport(report(true, 0), false, false, 0)).containsExactly(ReportChange.LEAVING);
        assertThat(state.availability(SECOND_NANOS)).isEqualTo(Availability.LEAVING);
        assertThat(state.acceptsAssigned(SECOND_NANOS)).isFalse();
        assertThat(state.onReport(report(false, 0), true, false, 2 * SECOND_NANOS))
                .isEmpty();
        state.update(UpstreamRegistryTest.upstream("a", 1, false));
        assertThat(state.availability(3 * SECOND_NANOS)).isEqualTo(Availability.LEAVING);
        state.update(UpstreamRegistryTest.upstream("a", 2, false));
        assertThat(state.availability(3 * SECOND_NANOS)).isEqualTo(Availability.AVAILABLE);
    }

    @Test
    void shouldGetNoRequestInAPauseAndOneAtATimeAfterIt() {
        final InFlightRequest earlier = state.assign("", List.of(), 0, 0, 0, 0);
        assertThat(state.onReport(report(false, 1.5), false, true, 0)).containsExactly(ReportChange.PUSHED_BACK);
        state.onNotRun(0);
        assertThat(state.availability(SECOND_NANOS)).isEqualTo(Availability.PUSHED_BACK);
        // An answer to a request that was sent before does not end the pause.
        state.onSuccess(0, 0, SECOND_NANOS);
        state.release(earlier);
        assertThat(state.availability(SECOND_NANOS)).isEqualTo(Availability.PUSHED_BACK);
        assertThat(state.pauseNanos(SECOND_NANOS)).isEqualTo(SECOND_NANOS / 2);
        final long after = 3 * SECOND_NANOS / 2;
        assertThat(state.places(after)).isEqualTo(1);
        state.assign("", List.of(), 0, 0, 0, after);
        assertThat(state.availability(after)).isEqualTo(Availability.PROBED);
        state.onSuccess(0, 0, after + 1);
        assertThat(state.places(after + 1)).isEqualTo(Integer.MAX_VALUE);
    }

    @Test
    void shouldIgnoreAPauseOfZeroAndBoundAVeryLongOne() {
        assertThat(state.onReport(report(false, 0), false, true, 0)).isEmpty();
        assertThat(state.availability(0)).isEqualTo(Availability.AVAILABLE);
        // Only a rejection asks for a pause.
        assertThat(state.onReport(report(false, 5), true, false, 0)).isEmpty();
        state.onReport(report(false, 1e300), false, true, 0);
        assertThat(state.pauseNanos(0)).isEqualTo(600 * SECOND_NANOS);
        assertThat(state.onReport(report(false, 3), false, true, 0)).isEmpty();
        assertThat(state.pauseNanos(0)).isEqualTo(600 * SECOND_NANOS);
    }

    @Test
    void shouldGetNoRequestWhileItsFailureDomainIsEvacuated() {
        state.onReport(report(false, 1.5), false, true, 0);
        evacuatedDomains.order("d", 1);
        // The pause ends before the evacuation does.
        assertThat(state.availability(0)).isEqualTo(Availability.DOMAIN_EVACUATED);
        assertThat(state.availability(0).temporary()).isFalse();
        assertThat(state.places(2 * SECOND_NANOS)).isEqualTo(0);
        assertThat(state.acceptsAssigned(2 * SECOND_NANOS)).isFalse();
        state.update(UpstreamRegistryTest.upstream("a", 2, false));
        assertThat(state.acceptsAssigned(2 * SECOND_NANOS)).isFalse();
        state.update(UpstreamRegistryTest.upstream("a", 2, true));
        assertThat(state.availability(2 * SECOND_NANOS)).isEqualTo(Availability.LEAVING);
        state.update(UpstreamRegistryTest.upstream("a", 3, false));
        evacuatedDomains.withdraw("d", 2);
        assertThat(state.acceptsAssigned(2 * SECOND_NANOS)).isTrue();
        evacuatedDomains.order("other", 3);
        assertThat(state.availability(2 * SECOND_NANOS)).isEqualTo(Availability.AVAILABLE);
    }

    private static SelfReport report(boolean leaving, double notBeforeSeconds) {
        return SelfReports.pause(leaving, notBeforeSeconds);
    }
}
