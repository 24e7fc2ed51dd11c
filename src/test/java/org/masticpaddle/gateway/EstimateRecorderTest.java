package org.masticpaddle.gateway;

import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.masticpaddle.fleet.InFlightRequest;
import org.masticpaddle.fleet.ObservedSpeed;
import org.masticpaddle.fleet.SelfReports;
import org.masticpaddle.fleet.Upstream;
import org.masticpaddle.fleet.UpstreamState;
import org.masticpaddle.routes.RequestKind;
import org.masticpaddle.routes.RequestLimits;
import org.masticpaddle.routes.RoutingTable;
import org.masticpaddle.routing.ServiceTimes;
import org.masticpaddle.wire.EmptyBody;
import org.masticpaddle.wire.HttpRequestException;

import static com.google.common.truth.Truth.assertThat;

/** Guards against estimates of a service that follow the pace of the upstreams that happened to answer. */
class EstimateRecorderTest {
    private static final long MILLI_NANOS = 1_000_000L;
    private static final int TOKENS = 1_000;
    private static final int EVENTS = 11;

    private String versionUnderTest = "";
    private final GatewayState state =
            new GatewayState(RolloutDeployment.BOUNDS, RandomSource.XO_RO_SHI_RO_128_PP.create(1L));
    private final ServiceTimes times = state.serviceTimes("s");
    private final EstimateRecorder recorder = new EstimateRecorder(
            state,
            new LearningRouter(upstream -> !upstream.id().equals(versionUnderTest)),
            "s",
            new RequestModels(
                    state,
                    admitted(RoutingTable.of(1, List.of(), Map.of(), List.of(), RequestLimits.DEFAULT, false)),
                    "s"));
    private long now;

    @BeforeEach
    void registerUpstreams() {
        for (final String id : List.of("fast", "slow")) {
            state.registry()
                    .applyEntry(new Upstream(id, "s", URI.create("http://127.0.0.1:1"), "d", "v", 8, false, 1, 0), 0);
        }
    }

    @Test
    void shouldRecordTheTimesOfAnUpstreamOfUsualPace() {
        for (int count = 0; count < 300; count++) {
            answer("fast", 0.5);
            answer("slow", 2);
        }
        assertThat(times.plainRequestMillis()).isWithin(0.1).of(20);
        assertThat(times.prefillMillis("m", 1, TOKENS)).isWithin(0.1).of(115);
        assertThat(times.eventIntervalMillis("m", 1)).isWithin(1).of(30);
    }

    @Test
    void shouldRecordTheTimesAsTheyAreWhereNoUpstreamReportsAWorkFactor() {
        final ServiceTimes expected = new ServiceTimes();
        final Attempt attempt = attempt("slow");
        now += 50 * MILLI_NANOS;
        recorder.recordAnswerStart(attempt, "", 0, now);
        recorder.recordAnswerStart(attempt, "m", 0, now);
        expected.recordPlainRequest(50);
        expected.recordPrefill("m", 1, TOKENS, 50);
        assertThat(times.plainRequestMillis()).isEqualTo(expected.plainRequestMillis());
        assertThat(times.prefillMillis("m", 1, TOKENS)).isEqualTo(expected.prefillMillis("m", 1, TOKENS));
    }

    @Test
    void shouldLearnTheSpeedOfAnUpstreamBeyondWhatItReports() {
        for (int count = 0; count < 100; count++) {
            answerIn("fast", 0.5, 1);
            answerIn("slow", 2, 1);
        }
        for (final ObservedSpeed.Work work : ObservedSpeed.Work.values()) {
            assertThat(level("slow", work) - level("fast", work)).isWithin(0.2).of(Math.log(4));
        }
    }

    @Test
    void shouldLearnNoSpeedFromReportedWorkFactorsAlone() {
        for (int count = 0; count < 100; count++) {
            answer("fast", 0.5);
            answer("slow", 2);
        }
        for (final ObservedSpeed.Work work : ObservedSpeed.Work.values()) {
            assertThat(level("slow", work) - level("fast", work)).isWithin(0.1).of(0);
        }
    }

    /** Guards against a new version that is slower, and is not found since its upstreams are expected to be slow. */
    @Test
    void shouldLearnNothingFromAVersionUnderTest() {
        versionUnderTest = "slow";
        for (int count = 0; count < 100; count++) {
            answerIn("fast", 1, 1);
            answerIn("slow", 2, 1);
        }
        assertThat(times.plainRequestMillis()).isWithin(0.1).of(20);
        for (final ObservedSpeed.Work work : ObservedSpeed.Work.values()) {
            assertThat(speed("slow").weight(work, now)).isEqualTo(0.0);
            assertThat(speed("fast").weight(work, now)).isGreaterThan(0.0);
        }
    }

    /** Guards against an upstream that counts as slow since it was expected to be busy, and was. */
    @Test
    void shouldNotCountTheExpectedWaitOfAPlainRequestAsSlowness() {
        for (int count = 0; count < 100; count++) {
            final Attempt attempt = attempt("slow", 60, 20);
            now += 60 * MILLI_NANOS;
            recorder.recordAnswerStart(attempt, "", 0, now);
            final Attempt other = attempt("fast", 20, 20);
            now += 20 * MILLI_NANOS;
            recorder.recordAnswerStart(other, "", 0, now);
        }
        assertThat(level("slow", ObservedSpeed.Work.PLAIN) - level("fast", ObservedSpeed.Work.PLAIN))
                .isWithin(0.2)
                .of(0);
    }

    private ObservedSpeed speed(String id) {
        return upstream(id).performance().speed();
    }

    private double level(String id, ObservedSpeed.Work work) {
        return speed(id).level(work);
    }

    private void answer(String id, double workFactor) {
        answerIn(id, workFactor, workFactor);
    }

    /** Answers a plain request that usually takes 20 ms, and a stream with a prefill of 115 ms and events 30 ms apart. */
    private void answerIn(String id, double trueFactor, double workFactor) {
        final Attempt plain = attempt(id);
        now += (long) (20 * trueFactor * MILLI_NANOS);
        upstream(id).onReport(SelfReports.workFactor(workFactor), true, false, now);
        recorder.recordAnswerStart(plain, "", 0, now);
        final Attempt stream = attempt(id);
        now += (long) (115 * trueFactor * MILLI_NANOS);
        upstream(id).onReport(SelfReports.workFactor(workFactor), true, false, now);
        recorder.recordAnswerStart(stream, "m", 0, now);
        stream.markStarted(now);
        stream.recordEvents(EVENTS);
        now += (long) (30 * (EVENTS - 1) * trueFactor * MILLI_NANOS);
        recorder.recordAnswerEnd(stream, "m", now);
    }

    /** Returns a request of model {@code m} for the service {@code s}. */
    static AdmittedRequest admitted(RoutingTable table) {
        return new AdmittedRequest(
                table,
                ResponseVerdictTest.route(RequestKind.STREAM),
                Optional.empty(),
                new InboundRequest(
                        "r",
                        OptionalLong.empty(),
                        Optional.empty(),
                        Optional.of("m"),
                        TOKENS,
                        1,
                        OptionalInt.empty(),
                        List.of(),
                        OptionalLong.empty(),
                        Optional.empty()),
                "POST",
                "/",
                Map.of(),
                EmptyBody.create(),
                0);
    }

    private UpstreamState upstream(String id) {
        return state.registry().find(id).orElseThrow();
    }

    private Attempt attempt(String id) {
        return attempt(id, 1, 1);
    }

    private Attempt attempt(String id, double expectedMillis, double processingMillis) {
        final InFlightRequest request = upstream(id).assign("m", List.of(), TOKENS, 0, 0, now);
        return new Attempt(upstream(id), request, expectedMillis, processingMillis, true, now, new IgnoringListener());
    }

    /** Ignores the response. Immutable. */
    static final class IgnoringListener implements Attempt.Listener {
        @Override
        public boolean mayBeSent(Attempt attempt) {
            return true;
        }

        @Override
        public void onResponseHead(Attempt attempt) {}

        @Override
        public void onResponseBytes(Attempt attempt, byte[] bytes) {}

        @Override
        public void onResponseComplete(Attempt attempt) {}

        @Override
        public void onAttemptFailed(Attempt attempt, HttpRequestException error) {}
    }
}
