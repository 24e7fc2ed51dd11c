package org.masticpaddle.quarantine;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against crashes that are attributed to the wrong segment, and against segments that stay quarantined. */
class SegmentQuarantineTest {
    private static final String SERVICE = "s";
    private static final SegmentKey BAD = new SegmentKey(SERVICE, "bad");

    private final SegmentQuarantine quarantine = new SegmentQuarantine("a");
    private final Object requester = new Object();

    @Test
    void shouldTrySuspectedSegmentByOneRequestAtATime() {
        lose("u1", 0, "bad");
        assertThat(outcome("bad", requester, 10)).isEqualTo(Admission.Outcome.TRIAL);
        quarantine.beginTrial(SERVICE, Set.of("bad"), requester);
        assertThat(outcome("bad", new Object(), 10)).isEqualTo(Admission.Outcome.HELD);
        assertThat(outcome("other", new Object(), 10)).isEqualTo(Admission.Outcome.ALLOWED);
        quarantine.endTrial(requester);
        assertThat(outcome("bad", new Object(), 10)).isEqualTo(Admission.Outcome.TRIAL);
        assertThat(outcome("bad", new Object(), Suspicion.SUSPICION_MILLIS)).isEqualTo(Admission.Outcome.ALLOWED);
    }

    @Test
    void shouldRejectSegmentAfterSecondCrashUntilBackoffEnds() {
        lose("u1", 0, "bad");
        lose("u2", 500, "bad");
        assertThat(outcome("bad", requester, 600)).isEqualTo(Admission.Outcome.REJECTED);
        final long backoffEnd = 500 + Suspicion.FIRST_BACKOFF_MILLIS;
        assertThat(outcome("bad", requester, backoffEnd - 1)).isEqualTo(Admission.Outcome.REJECTED);
        assertThat(outcome("bad", requester, backoffEnd)).isEqualTo(Admission.Outcome.TRIAL);
        quarantine.beginTrial(SERVICE, Set.of("bad"), requester);
        assertThat(outcome("bad", new Object(), backoffEnd)).isEqualTo(Admission.Outcome.REJECTED);
        lose("u3", backoffEnd, "bad");
        assertThat(quarantine.suspicion(BAD).orElseThrow().untilMillis())
                .isEqualTo(backoffEnd + 2 * Suspicion.FIRST_BACKOFF_MILLIS);
    }

    @Test
    void shouldReleaseSegmentWhenAnAnswerGoesOn() {
        lose("u1", 0, "bad");
        lose("u2", 500, "bad");
        quarantine.recordProgress(SERVICE, Set.of("bad"), 11_000);
        assertThat(quarantine.suspicions()).isEmpty();
        assertThat(quarantine.unpublishedReport()).isEqualTo(Optional.empty());
    }

    @Test
    void shouldAttributeCrashesToTheSegmentOfAllOfThem() {
        lose("u1", 0, "bad", "x", "y");
        lose("u2", 500, "bad", "x");
        lose("u3", 900, "bad", "y");
        assertThat(quarantine.suspicions().keySet()).containsExactly(BAD);
    }

    @Test
    void shouldFindOutWhichOfTiedSegmentsCausesTheCrashes() {
        lose("u1", 0, "bad", "system");
        lose("u2", 500, "bad", "system");
        assertThat(quarantine
                        .admit(SERVICE, Set.of("bad", "system"), requester, 600)
                        .outcome())
                .isEqualTo(Admission.Outcome.REJECTED);
        assertThat(outcome("system", requester, 600)).isEqualTo(Admission.Outcome.TRIAL);
        quarantine.recordProgress(SERVICE, Set.of("system"), 900);
        assertThat(outcome("system", requester, 900)).isEqualTo(Admission.Outcome.ALLOWED);
        assertThat(outcome("bad", requester, 900)).isEqualTo(Admission.Outcome.REJECTED);
    }

    @Test
    void shouldReleaseTiedSegmentWhenAnotherOneCrashesAlone() {
        lose("u1", 0, "bad", "system");
        lose("u2", 500, "bad", "system");
        lose("u3", 900, "bad");
        assertThat(outcome("system", requester, 1_000)).isEqualTo(Admission.Outcome.ALLOWED);
        assertThat(outcome("bad", requester, 1_000)).isEqualTo(Admission.Outcome.REJECTED);
    }

    @Test
    void shouldNotSuspectSegmentWithRecentProgress() {
        quarantine.recordProgress(SERVICE, Set.of("system"), 0);
        lose("u1", 100, "system", "bad");
        assertThat(quarantine.suspicions().keySet()).containsExactly(BAD);
        lose("u2", SegmentHistory.ESTABLISHED_MILLIS, "system");
        assertThat(quarantine.suspicions()).containsKey(new SegmentKey(SERVICE, "system"));
    }

    @Test
    void shouldCountCrashOfOneUpstreamOnce() {
        lose("u1", 0, "bad");
        lose("u1", 5, "bad");
        quarantine.mergeReport("b", report("u1", 3, "bad"), 10);
        assertThat(quarantine.suspicion(BAD).orElseThrow().crashes()).isEqualTo(1);
    }

    @Test
    void shouldForgetLossOfUpstreamThatIsStillThere() {
        quarantine.recordLoss(SERVICE, "u1", Set.of("bad"), 0);
        assertThat(quarantine.unconfirmed("u1")).isTrue();
        assertThat(quarantine.unpublishedReport()).isEqualTo(Optional.empty());
        quarantine.retractLoss("u1");
        assertThat(quarantine.suspicions()).isEmpty();
    }

    @Test
    void shouldCountAbandonedAnswerWhenUpstreamIsLostSoonAfter() {
        quarantine.recordAbandoned("u1", Set.of("bad"), 0);
        quarantine.recordAbandoned("u2", Set.of("other"), 0);
        assertThat(quarantine.recordLoss(SERVICE, "u1", Set.of(), 100)).containsExactly("bad");
        assertThat(quarantine.recordLoss(SERVICE, "u2", Set.of(), AbandonedAnswers.KEPT_MILLIS))
                .isEmpty();
    }

    @Test
    void shouldAddCrashesThatOtherGatewaysReport() {
        lose("u1", 0, "bad");
        quarantine.mergeReport("b", report("u2", 200, "bad"), 300);
        final Suspicion suspicion = quarantine.suspicion(BAD).orElseThrow();
        assertThat(suspicion.upstreams()).containsExactly("u1", "u2");
        assertThat(suspicion.owner()).isEqualTo("b");
        assertThat(outcome("bad", requester, 200 + Suspicion.FIRST_BACKOFF_MILLIS))
                .isEqualTo(Admission.Outcome.REJECTED);
    }

    @Test
    void shouldClearSegmentThatIsKnownToBeHarmless() {
        quarantine.recordProgress(SERVICE, Set.of("system"), 0);
        quarantine.mergeReport("b", report("u1", 50, "system"), 100);
        assertThat(quarantine.suspicions()).isEmpty();
        final GatewayReport reply = quarantine.unpublishedReport().orElseThrow();
        assertThat(reply.clearances()).containsExactly(new Clearance(SERVICE, "system", "u1"));
        final SegmentQuarantine reporter = new SegmentQuarantine("b");
        reporter.recordLoss(SERVICE, "u1", Set.of("system"), 50);
        reporter.confirmLoss("u1");
        reporter.mergeReport("a", reply, 150);
        assertThat(reporter.suspicions()).isEmpty();
    }

    @Test
    void shouldNotRepeatClearanceOfAnotherGateway() {
        quarantine.recordProgress(SERVICE, Set.of("system"), 0);
        quarantine.mergeReport("b", report("u1", 50, "system"), 100);
        quarantine.mergeReport("c", new GatewayReport(List.of(), List.of(new Clearance(SERVICE, "system", "u1"))), 120);
        assertThat(quarantine.unpublishedReport()).isEqualTo(Optional.empty());
        assertThat(quarantine.suspicions()).isEmpty();
    }

    @Test
    void shouldKeepOwnReportOverARestart() {
        lose("u1", 0, "bad");
        lose("u2", 500, "bad");
        final SegmentQuarantine restarted = new SegmentQuarantine("a");
        restarted.restoreReport(quarantine.unpublishedReport().orElseThrow());
        assertThat(restarted.suspicion(BAD).orElseThrow().quarantined()).isTrue();
        assertThat(restarted.unpublishedReport()).isEqualTo(Optional.empty());
    }

    @Test
    void shouldForgetEvidenceThatIsTooOld() {
        lose("u1", 0, "bad");
        quarantine.mergeReport("b", report("u2", 100, "bad"), 200);
        quarantine.expire(SegmentQuarantine.EVIDENCE_MILLIS);
        assertThat(quarantine.suspicion(BAD).orElseThrow().quarantined()).isTrue();
        quarantine.expire(SegmentQuarantine.EVIDENCE_MILLIS + 101);
        assertThat(quarantine.suspicions()).isEmpty();
        assertThat(quarantine.unpublishedReport()).isEqualTo(Optional.empty());
    }

    @Test
    void shouldBoundItsReport() {
        for (int number = 0; number < 100; number++) {
            final Set<String> segments = IntStream.range(0, 100)
                    .mapToObj(index -> "segment-" + index)
                    .collect(Collectors.toSet());
            quarantine.recordLoss(SERVICE, "u" + number, segments, number);
            quarantine.confirmLoss("u" + number);
        }
        final GatewayReport report = quarantine.unpublishedReport().orElseThrow();
        assertThat(report.crashes()).hasSize(SegmentQuarantine.MAX_CRASHES);
        report.crashes().forEach(crash -> assertThat(crash.segments()).hasSize(SegmentQuarantine.MAX_SEGMENTS));
    }

    private void lose(String upstream, long millis, String... segments) {
        quarantine.recordLoss(SERVICE, upstream, Set.of(segments), millis);
        quarantine.confirmLoss(upstream);
    }

    private static GatewayReport report(String upstream, long millis, String segment) {
        return new GatewayReport(List.of(new CrashReport(SERVICE, upstream, millis, Set.of(segment))), List.of());
    }

    private Admission.Outcome outcome(String segment, Object request, long millis) {
        return quarantine.admit(SERVICE, Set.of(segment), request, millis).outcome();
    }
}
