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
        final Verdict verdict = open("a", 1).decide(full(4_500), now);
        assertThat(((Verdict.Reject) verdict).reason()).isEqualTo(RejectionReason.WAIT_EXCEEDS_DEADLINE);
        assertThat(((Verdict.Reject) verdict).retryAfterMillis()).isWithin(1e-6).of(500);
    }

    @Test
    void shouldSendLateRatherThanNotAtAllWithinShare() {
        assertThat(open("a", 1).decide(full(3_900), now)).isInstanceOf(Verdict.Send.class);
    }

    @Test
    void shouldWaitIfTheAnswerMayStillStartInTime() {
        final ServiceAdmission.Ticket ticket = open("a", 1);
        assertThat(ticket.decide(full(4_050), now)).isInstanceOf(Verdict.Wait.class);
        assertThat(ticket.waiting()).isTrue();
        now += 100 * NANOS_PER_MILLI;
        assertThat(ticket.decide(full(3_900), now)).isInstanceOf(Verdict.Send.class);
        assertThat(ticket.waiting()).isFalse();
    }

    @Test
    void shouldGivePlaceToTheMostUrgentOfTheWaiting() {
        final ServiceAdmission.Ticket relaxed = open("a", 2);
        final ServiceAdmission.Ticket urgent = open("b", 0);
        assertThat(relaxed.decide(full(4_050), now)).isInstanceOf(Verdict.Wait.class);
        assertThat(urgent.decide(full(4_050), now)).isInstanceOf(Verdict.Wait.class);
        assertThat(relaxed.decide(full(3_900), now)).isInstanceOf(Verdict.Wait.class);
        assertThat(urgent.decide(full(3_900), now)).isInstanceOf(Verdict.Send.class);
        assertThat(relaxed.decide(full(3_900), now)).isInstanceOf(Verdict.Send.class);
    }

    @Test
    void shouldGainOneRankAtMostByWaiting() {
        final ServiceAdmission.Ticket relaxed = open("a", 2);
        assertThat(relaxed.decide(full(4_050), now)).isInstanceOf(Verdict.Wait.class);
        now += 70 * NANOS_PER_MILLI;
        final ServiceAdmission.Ticket standard = open("b", 1);
        final ServiceAdmission.Ticket urgent = open("c", 0);
        assertThat(standard.decide(full(4_050), now)).isInstanceOf(Verdict.Wait.class);
        assertThat(urgent.decide(full(4_050), now)).isInstanceOf(Verdict.Wait.class);
        assertThat(relaxed.decide(full(3_900), now)).isInstanceOf(Verdict.Wait.class);
        assertThat(urgent.decide(full(3_900), now)).isInstanceOf(Verdict.Send.class);
        assertThat(standard.decide(full(3_900), now)).isInstanceOf(Verdict.Wait.class);
        assertThat(relaxed.decide(full(3_900), now)).isInstanceOf(Verdict.Send.class);
    }

    @Test
    void shouldGiveNoQueuedPlaceToLessUrgentWorkWhileUrgentWorkIsRejected() {
        assertThat(open("a", 0).decide(full(4_500), now)).isInstanceOf(Verdict.Reject.class);
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
        assertThat(open("small", hasty, 1).decide(full(5_500), now)).isInstanceOf(Verdict.Reject.class);
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

    private static ServiceForecast full(double startMillis) {
        return new ServiceForecast(startMillis, 0, false, 1.5, 10, 100);
    }
}
