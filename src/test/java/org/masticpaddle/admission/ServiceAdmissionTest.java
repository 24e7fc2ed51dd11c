package org.masticpaddle.admission;

import java.util.Optional;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against rejections without pressure, late answers of urgent requests and organisations that pay for another one. */
class ServiceAdmissionTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long SECOND_NANOS = 1_000_000_000L;

    private final ServiceAdmission admission = new ServiceAdmission();
    private long now = SECOND_NANOS;

    @Test
    void shouldSendWhileUpstreamsHaveRoomWhateverIsExpected() {
        assertThat(open("a", 1).decide(new ServiceForecast(60_000, 0, false, 0.49, 0, 10), now))
                .isInstanceOf(Verdict.Send.class);
    }

    @Test
    void shouldRejectAtOnceWhatCannotStartWithinHalfOfItsTime() {
        final Verdict verdict = open("a", 1).decide(full(2_500), now);
        assertThat(((Verdict.Reject) verdict).reason()).isEqualTo(RejectionReason.WAIT_EXCEEDS_DEADLINE);
        assertThat(((Verdict.Reject) verdict).retryAfterMillis()).isWithin(1e-6).of(500);
    }

    @Test
    void shouldSendLateRatherThanNotAtAllWithinShare() {
        assertThat(open("a", 1).decide(full(1_900), now)).isInstanceOf(Verdict.Send.class);
    }

    @Test
    void shouldWaitIfTheAnswerMayStillStartInTime() {
        final ServiceAdmission.Ticket ticket = open("a", 1);
        assertThat(ticket.decide(full(2_050), now)).isInstanceOf(Verdict.Wait.class);
        assertThat(ticket.waiting()).isTrue();
        now += 100 * NANOS_PER_MILLI;
        assertThat(ticket.decide(full(1_900), now)).isInstanceOf(Verdict.Send.class);
        assertThat(ticket.waiting()).isFalse();
    }

    @Test
    void shouldGivePlaceToTheMostUrgentOfTheWaiting() {
        final ServiceAdmission.Ticket relaxed = open("a", 2);
        final ServiceAdmission.Ticket urgent = open("b", 0);
        assertThat(relaxed.decide(full(2_050), now)).isInstanceOf(Verdict.Wait.class);
        assertThat(urgent.decide(full(2_050), now)).isInstanceOf(Verdict.Wait.class);
        assertThat(relaxed.decide(full(1_900), now)).isInstanceOf(Verdict.Wait.class);
        assertThat(urgent.decide(full(1_900), now)).isInstanceOf(Verdict.Send.class);
        assertThat(relaxed.decide(full(1_900), now)).isInstanceOf(Verdict.Send.class);
    }

    @Test
    void shouldGainOneRankAtMostByWaiting() {
        final ServiceAdmission.Ticket relaxed = open("a", 2);
        assertThat(relaxed.decide(full(2_050), now)).isInstanceOf(Verdict.Wait.class);
        now += 70 * NANOS_PER_MILLI;
        final ServiceAdmission.Ticket standard = open("b", 1);
        final ServiceAdmission.Ticket urgent = open("c", 0);
        assertThat(standard.decide(full(2_050), now)).isInstanceOf(Verdict.Wait.class);
        assertThat(urgent.decide(full(2_050), now)).isInstanceOf(Verdict.Wait.class);
        assertThat(relaxed.decide(full(1_900), now)).isInstanceOf(Verdict.Wait.class);
        assertThat(urgent.decide(full(1_900), now)).isInstanceOf(Verdict.Send.class);
        assertThat(standard.decide(full(1_900), now)).isInstanceOf(Verdict.Wait.class);
        assertThat(relaxed.decide(full(1_900), now)).isInstanceOf(Verdict.Send.class);
    }

    @Test
    void shouldGiveNoQueuedPlaceToLessUrgentWorkWhileUrgentWorkIsRejected() {
        assertThat(open("a", 0).decide(full(2_500), now)).isInstanceOf(Verdict.Reject.class);
        assertThat(open("b", 1).decide(full(300), now)).isInstanceOf(Verdict.Reject.class);
        final ServiceForecast free = new ServiceForecast(300, 0, true, 0.9, 1, 100);
        assertThat(open("b", 1).decide(free, now)).isInstanceOf(Verdict.Send.class);
    }

    @Test
    void shouldRejectOnlyTheOrganisationAboveItsShareUnderPressure() {
        flood();
        final Verdict flooding = open("flood", 1).decide(full(700), now);
        assertThat(((Verdict.Reject) flooding).reason()).isEqualTo(RejectionReason.ABOVE_SHARE);
        assertThat(open("small", 1).decide(full(700), now)).isInstanceOf(Verdict.Send.class);
    }

    @Test
    void shouldSendAllWithoutPressure() {
        flood();
        now += SECOND_NANOS;
        assertThat(open("flood", 1).decide(full(700), now)).isInstanceOf(Verdict.Send.class);
    }

    @Test
    void shouldNotCountLessUrgentWorkAgainstUrgentWork() {
        flood();
        assertThat(open("flood", 0).decide(full(700), now)).isInstanceOf(Verdict.Send.class);
    }

    @Test
    void shouldPutRepeatsThatComeTooSoonBehindFirstAttempts() {
        flood();
        final Optional<String> hasty = Optional.of("hasty");
        assertThat(open("small", hasty, 1).decide(full(3_500), now)).isInstanceOf(Verdict.Reject.class);
        now += 300 * NANOS_PER_MILLI;
        // Not held back by the late rejection: the same rank.
        assertThat(open("small", Optional.of("other"), 1).decide(full(700), now))
                .isInstanceOf(Verdict.Send.class);
        assertThat(open("small", hasty, 1).decide(full(700), now)).isInstanceOf(Verdict.Reject.class);
        now += 2_700 * NANOS_PER_MILLI;
        assertThat(open("small", hasty, 1).decide(full(700), now)).isInstanceOf(Verdict.Send.class);
    }

    @Test
    void shouldCorrectExpectedTimesByRank() {
        for (int index = 0; index < 50; index++) {
            final ServiceAdmission.Ticket ticket = open("a", 0);
            ticket.onSent(400, now);
            now += 200 * NANOS_PER_MILLI;
            ticket.onStarted(now);
            ticket.close(true, now);
        }
        assertThat(admission.startRatio(0, now)).isWithin(0.1).of(0.5);
        assertThat(admission.startRatio(1, now)).isEqualTo(1.0);
        assertThat(admission.startRatio(0, now + 2 * SECOND_NANOS)).isEqualTo(1.0);
    }

    @Test
    void shouldSendToAFreePlaceWhateverTheLimit() {
        final ServiceForecast free = new ServiceForecast(5_000, 4_900, true, 0.9, 1, 100);
        assertThat(open("a", 1).decide(free, now)).isInstanceOf(Verdict.Send.class);
        final ServiceForecast late = new ServiceForecast(8_200, 8_100, true, 0.9, 1, 100);
        assertThat(open("a", 1).decide(late, now)).isInstanceOf(Verdict.Reject.class);
    }

    @Test
    void shouldNotHoldLessUrgentWorkBackForAPromptThatIsLateByItself() {
        assertThat(open("a", 0).decide(new ServiceForecast(5_000, 4_900, false, 1.5, 10, 100), now))
                .isInstanceOf(Verdict.Reject.class);
        for (int index = 0; index < 400; index++) {
            assertThat(open("b", 2).decide(full(300), now)).isInstanceOf(Verdict.Send.class);
        }
    }

    @Test
    void shouldNotLetThePatientKindTakeTheRoomOfAnotherOne() {
        // Queues of more than twice the objective help no caller, however long it would wait.
        final AdmissionCandidate patient = candidate("patient", 1_000, 20_000);
        assertThat(admission.open(patient, now).decide(full(2_200), now)).isInstanceOf(Verdict.Reject.class);
        now += SECOND_NANOS;
        final AdmissionCandidate hasty = candidate("hasty", 1_000, 3_000);
        assertThat(admission.open(hasty, now).decide(full(1_700), now)).isInstanceOf(Verdict.Reject.class);
        final AdmissionCandidate next = candidate("patient", 1_000, 20_000);
        assertThat(admission.open(next, now).decide(full(1_200), now)).isInstanceOf(Verdict.Reject.class);
        now += SECOND_NANOS;
        final AdmissionCandidate later = candidate("patient", 1_000, 20_000);
        assertThat(admission.open(later, now).decide(full(1_200), now)).isInstanceOf(Verdict.Send.class);
    }

    @Test
    void shouldNameNoSpreadWithoutKnownCapacityAndAskNoneToReturnTooLate() {
        for (int index = 0; index < 200; index++) {
            final Verdict.Reject reject =
                    (Verdict.Reject) open("a", 1).decide(full(index % 2 == 0 ? 2_200 : 60_000), now);
            assertThat(reject.spreadMillis()).isEqualTo(0.0);
            assertThat(reject.retryAfterMillis()).isAtMost(8_000 / 3.0);
        }
        flood();
        for (int index = 0; index < 2_000; index++) {
            final Verdict verdict = open("a", 1).decide(full(60_000), now);
            final Verdict.Reject reject = (Verdict.Reject) verdict;
            assertThat(reject.retryAfterMillis() + reject.spreadMillis()).isAtMost(8_000 / 3.0 + 1e-6);
        }
    }

    @Test
    void shouldNotWaitOrBeLateBeyondATimeoutShorterThanTheObjective() {
        final AdmissionCandidate hurried = candidate("hurried", 10_000, 1_000);
        final ServiceAdmission.Ticket ticket = admission.open(hurried, now);
        assertThat(ticket.decide(full(600), now)).isInstanceOf(Verdict.Wait.class);
        now += 125 * NANOS_PER_MILLI;
        assertThat(ticket.decide(full(600), now)).isInstanceOf(Verdict.Reject.class);
        assertThat(admission.open(candidate("hurried", 10_000, 1_000), now).decide(full(499), now))
                .isInstanceOf(Verdict.Send.class);
    }

    @Test
    void shouldPassAWaitingRequestThatWouldBeLateInTheSameQueue() {
        final ServiceAdmission.Ticket waiting = open("a", 0);
        assertThat(waiting.decide(new ServiceForecast(2_050, 1_900, false, 1.5, 10, 100), now))
                .isInstanceOf(Verdict.Wait.class);
        // After a queue of 150 ms the waiting request would still be late.
        assertThat(open("b", 1).decide(new ServiceForecast(160, 10, false, 1.5, 10, 100), now))
                .isInstanceOf(Verdict.Send.class);
        assertThat(open("b", 1).decide(new ServiceForecast(60, 10, false, 1.5, 10, 100), now))
                .isInstanceOf(Verdict.Wait.class);
    }

    @Test
    void shouldLetFourWaitAtAGatewayWithFewPlaces() {
        for (int index = 0; index < 4; index++) {
            assertThat(open("a", 1).decide(new ServiceForecast(2_050, 0, false, 1.5, 10, 1), now))
                    .isInstanceOf(Verdict.Wait.class);
        }
        assertThat(open("a", 1).decide(new ServiceForecast(2_050, 0, false, 1.5, 10, 1), now))
                .isInstanceOf(Verdict.Reject.class);
    }

    @Test
    void shouldNotTakeRequestsWithoutObjectiveForPressure() {
        flood();
        now += SECOND_NANOS;
        admission.open(candidate("none", 0, 1_000), now).decide(full(0), now);
        assertThat(admission.restrains("flood", 1, now)).isFalse();
        for (int index = 0; index < 10; index++) {
            open("other", 1).decide(full(800), now);
        }
        assertThat(admission.restrains("flood", 1, now)).isTrue();
    }

    @Test
    void shouldCountWorkOnceAndOnlyIfItMayHaveRun() {
        for (int index = 0; index < 40; index++) {
            now += 25 * NANOS_PER_MILLI;
            final ServiceAdmission.Ticket unlucky = open("unlucky", 1);
            for (int attempt = 0; attempt < 3; attempt++) {
                unlucky.onSent(10, now);
                unlucky.onNotRun(now);
            }
            unlucky.onSent(10, now);
            // An escalation continues work that counts already.
            unlucky.onSent(10, now);
            unlucky.close(true, now);
            final ServiceAdmission.Ticket other = open("other", 1);
            other.onSent(10, now);
            other.close(true, now);
        }
        for (int index = 0; index < 10; index++) {
            open("other", 1).decide(full(800), now);
        }
        assertThat(admission.restrains("unlucky", 1, now)).isEqualTo(admission.restrains("other", 1, now));
        assertThat(open("unlucky", 1).decide(full(700), now)).isInstanceOf(Verdict.Send.class);
    }

    @Test
    void shouldNotMeasureTheStartOfAnAttemptThatHasNotRun() {
        for (int index = 0; index < 20; index++) {
            final ServiceAdmission.Ticket ticket = open("a", 1);
            ticket.onSent(10, now);
            ticket.onNotRun(now);
            ticket.close(false, now + SECOND_NANOS);
        }
        assertThat(admission.startRatio(1, now)).isEqualTo(1.0);
    }

    @Test
    void shouldNotBlockOthersAfterItLeftTheLine() {
        final ServiceAdmission.Ticket held = open("a", 0);
        assertThat(held.decide(full(2_050), now)).isInstanceOf(Verdict.Wait.class);
        held.leaveLine();
        assertThat(open("b", 1).decide(full(1_900), now)).isInstanceOf(Verdict.Send.class);
        assertThat(held.decide(full(1_900), now)).isInstanceOf(Verdict.Send.class);
    }

    /** Sends much work of one organisation and little of another one, with answers that start ever later. */
    private void flood() {
        for (int index = 0; index < 40; index++) {
            now += 25 * NANOS_PER_MILLI;
            final ServiceAdmission.Ticket ticket = open(index % 8 == 0 ? "small" : "flood", 1);
            ticket.decide(full(450), now);
            ticket.onSent(450, now);
            ticket.close(index % 2 == 0, now);
        }
        for (int index = 0; index < 10; index++) {
            open("other", 1).decide(full(800), now);
        }
    }

    private ServiceAdmission.Ticket open(String organisation, int rank) {
        return open(organisation, Optional.empty(), rank);
    }

    private ServiceAdmission.Ticket open(String organisation, Optional<String> session, int rank) {
        return admission.open(new AdmissionCandidate(organisation, session, "kind", rank, 1, now, 1_000, 8_000), now);
    }

    private AdmissionCandidate candidate(String kind, double objectiveMillis, double timeoutMillis) {
        return new AdmissionCandidate("a", Optional.empty(), kind, 1, 1, now, objectiveMillis, timeoutMillis);
    }

    private static ServiceForecast full(double startMillis) {
        return new ServiceForecast(startMillis, 0, false, 1.5, 10, 100);
    }
}
