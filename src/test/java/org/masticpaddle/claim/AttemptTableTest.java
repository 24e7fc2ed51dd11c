package org.masticpaddle.claim;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against an attempt that runs twice or after it was fenced, and against unbounded memory. */
class AttemptTableTest {
    private static final long NOW_MILLIS = 1_700_000_000_000L;
    private static final long LIFETIME_MILLIS = 600_000;

    private final AttemptTable table = new AttemptTable(7, LIFETIME_MILLIS, 2, 4, 6);

    @Test
    void shouldAcceptAnAttemptOnceAndForItsIncarnationOnly() {
        assertThat(table.accept("a", 6, NOW_MILLIS, NOW_MILLIS)).isEqualTo(AttemptAdmission.OTHER_INCARNATION);
        assertThat(table.accept("a", 7, NOW_MILLIS, NOW_MILLIS)).isEqualTo(AttemptAdmission.RUN);
        assertThat(table.accept("a", 7, NOW_MILLIS, NOW_MILLIS)).isEqualTo(AttemptAdmission.REPEATED);
        assertThat(table.accept("b", 0, NOW_MILLIS, NOW_MILLIS)).isEqualTo(AttemptAdmission.RUN);
        assertThat(table.resolve("a", 7, NOW_MILLIS, NOW_MILLIS)).isEqualTo(new AttemptStatus.Running());
        assertThat(table.resolve("a", 6, NOW_MILLIS, NOW_MILLIS)).isEqualTo(new AttemptStatus.Unknown());
    }

    @Test
    void shouldNeverRunAFencedAttempt() {
        assertThat(table.resolve("a", 7, NOW_MILLIS, NOW_MILLIS)).isEqualTo(new AttemptStatus.Sealed());
        assertThat(table.accept("a", 7, NOW_MILLIS, NOW_MILLIS)).isEqualTo(AttemptAdmission.SEALED);
        table.accept("b", 7, NOW_MILLIS, NOW_MILLIS);
        table.recordNotRun("b");
        table.recordAnswer("b", 200, new byte[0]);
        assertThat(table.resolve("b", 7, NOW_MILLIS, NOW_MILLIS)).isEqualTo(new AttemptStatus.Sealed());
    }

    @Test
    void shouldKeepAnswersWithinTheSizeLimits() {
        table.accept("a", 7, NOW_MILLIS, NOW_MILLIS);
        table.accept("b", 7, NOW_MILLIS, NOW_MILLIS);
        table.recordAnswer("a", 201, new byte[4]);
        table.recordAnswer("a", 500, new byte[1]);
        table.recordAnswer("b", 200, new byte[3]);
        final AttemptStatus.Answered stored = (AttemptStatus.Answered) table.resolve("a", 7, NOW_MILLIS, NOW_MILLIS);
        final AttemptStatus.Answered withoutAnswer =
                (AttemptStatus.Answered) table.resolve("b", 7, NOW_MILLIS, NOW_MILLIS);
        assertThat(stored.status()).isEqualTo(201);
        assertThat(stored.answer().orElseThrow()).hasLength(4);
        assertThat(withoutAnswer.answer()).isEmpty();
        assertThat(table.answerBytes()).isEqualTo(4);
    }

    @Test
    void shouldReportUnknownAfterAnIncompleteAnswer() {
        table.accept("a", 7, NOW_MILLIS, NOW_MILLIS);
        table.recordIncomplete("a");
        assertThat(table.resolve("a", 7, NOW_MILLIS, NOW_MILLIS)).isEqualTo(new AttemptStatus.Unknown());
    }

    @Test
    void shouldRejectNewAttemptsWhenFull() {
        table.accept("a", 7, NOW_MILLIS, NOW_MILLIS);
        table.accept("b", 7, NOW_MILLIS, NOW_MILLIS);
        assertThat(table.accept("c", 7, NOW_MILLIS, NOW_MILLIS)).isEqualTo(AttemptAdmission.FULL);
        assertThat(table.resolve("c", 7, NOW_MILLIS, NOW_MILLIS)).isEqualTo(new AttemptStatus.Unknown());
        assertThat(table.accept("a", 7, NOW_MILLIS, NOW_MILLIS)).isEqualTo(AttemptAdmission.REPEATED);
    }

    @Test
    void shouldRejectAnAttemptThatMayHaveBeenEvicted() {
        table.accept("a", 7, NOW_MILLIS, NOW_MILLIS);
        table.recordAnswer("a", 200, new byte[4]);
        assertThat(table.accept("a", 7, NOW_MILLIS, NOW_MILLIS + LIFETIME_MILLIS - 1))
                .isEqualTo(AttemptAdmission.REPEATED);
        assertThat(table.accept("a", 7, NOW_MILLIS, NOW_MILLIS + LIFETIME_MILLIS))
                .isEqualTo(AttemptAdmission.EXPIRED);
        assertThat(table.accept("a", 7, NOW_MILLIS, NOW_MILLIS)).isEqualTo(AttemptAdmission.EXPIRED);
        assertThat(table.resolve("a", 7, NOW_MILLIS, NOW_MILLIS)).isEqualTo(new AttemptStatus.Unknown());
        assertThat(table.size()).isEqualTo(0);
        assertThat(table.answerBytes()).isEqualTo(0);
    }

    @Test
    void shouldRejectAnAttemptCreatedInTheFuture() {
        final long createdMillis = NOW_MILLIS + ClaimLedger.CLOCK_SKEW_MARGIN_MILLIS + 1;
        assertThat(table.accept("a", 7, createdMillis, NOW_MILLIS)).isEqualTo(AttemptAdmission.TOO_FAR_AHEAD);
        assertThat(table.resolve("a", 7, createdMillis, NOW_MILLIS)).isEqualTo(new AttemptStatus.Unknown());
    }
}
