package org.masticpaddle.claim;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against an attempt that runs twice or after a seal, and against memory without bounds. */
class AttemptTableTest {
    private static final long NOW = 1_700_000_000_000L;
    private static final long LIFETIME = 600_000;

    private final AttemptTable table = new AttemptTable(7, LIFETIME, 2, 4, 6);

    @Test
    void shouldAcceptAnAttemptOnceAndForItsIncarnationOnly() {
        assertThat(table.accept("a", 6, NOW, NOW)).isEqualTo(AttemptAdmission.OTHER_INCARNATION);
        assertThat(table.accept("a", 7, NOW, NOW)).isEqualTo(AttemptAdmission.RUN);
        assertThat(table.accept("a", 7, NOW, NOW)).isEqualTo(AttemptAdmission.REPEATED);
        assertThat(table.accept("b", 0, NOW, NOW)).isEqualTo(AttemptAdmission.RUN);
        assertThat(table.resolve("a", 7, NOW, NOW)).isEqualTo(new AttemptStatus.Running());
        assertThat(table.resolve("a", 6, NOW, NOW)).isEqualTo(new AttemptStatus.Unknown());
    }

    @Test
    void shouldNeverRunASealedAttempt() {
        assertThat(table.resolve("a", 7, NOW, NOW)).isEqualTo(new AttemptStatus.Sealed());
        assertThat(table.accept("a", 7, NOW, NOW)).isEqualTo(AttemptAdmission.SEALED);
        table.accept("b", 7, NOW, NOW);
        table.recordNotRun("b");
        table.recordAnswer("b", 200, new byte[0]);
        assertThat(table.resolve("b", 7, NOW, NOW)).isEqualTo(new AttemptStatus.Sealed());
    }

    @Test
    void shouldKeepAnswersUpToTheirBounds() {
        table.accept("a", 7, NOW, NOW);
        table.accept("b", 7, NOW, NOW);
        table.recordAnswer("a", 201, new byte[4]);
        table.recordAnswer("a", 500, new byte[1]);
        table.recordAnswer("b", 200, new byte[3]);
        final AttemptStatus.Answered kept = (AttemptStatus.Answered) table.resolve("a", 7, NOW, NOW);
        final AttemptStatus.Answered cut = (AttemptStatus.Answered) table.resolve("b", 7, NOW, NOW);
        assertThat(kept.status()).isEqualTo(201);
        assertThat(kept.answer().orElseThrow()).hasLength(4);
        assertThat(cut.answer()).isEmpty();
        assertThat(table.answerBytes()).isEqualTo(4);
    }

    @Test
    void shouldSayUnknownAfterARunWithoutAnAnswer() {
        table.accept("a", 7, NOW, NOW);
        table.recordIncomplete("a");
        assertThat(table.resolve("a", 7, NOW, NOW)).isEqualTo(new AttemptStatus.Unknown());
    }

    @Test
    void shouldRefuseWhenFullRatherThanForget() {
        table.accept("a", 7, NOW, NOW);
        table.accept("b", 7, NOW, NOW);
        assertThat(table.accept("c", 7, NOW, NOW)).isEqualTo(AttemptAdmission.FULL);
        assertThat(table.resolve("c", 7, NOW, NOW)).isEqualTo(new AttemptStatus.Unknown());
        assertThat(table.accept("a", 7, NOW, NOW)).isEqualTo(AttemptAdmission.REPEATED);
    }

    @Test
    void shouldRefuseAnAttemptThatItMayHaveForgotten() {
        table.accept("a", 7, NOW, NOW);
        table.recordAnswer("a", 200, new byte[4]);
        assertThat(table.accept("a", 7, NOW, NOW + LIFETIME - 1)).isEqualTo(AttemptAdmission.REPEATED);
        assertThat(table.accept("a", 7, NOW, NOW + LIFETIME)).isEqualTo(AttemptAdmission.EXPIRED);
        assertThat(table.accept("a", 7, NOW, NOW)).isEqualTo(AttemptAdmission.EXPIRED);
        assertThat(table.resolve("a", 7, NOW, NOW)).isEqualTo(new AttemptStatus.Unknown());
        assertThat(table.size()).isEqualTo(0);
        assertThat(table.answerBytes()).isEqualTo(0);
    }

    @Test
    void shouldRefuseAnAttemptFromTheFuture() {
        final long ahead = NOW + ClaimLedger.MARGIN_MILLIS + 1;
        assertThat(table.accept("a", 7, ahead, NOW)).isEqualTo(AttemptAdmission.TOO_FAR_AHEAD);
        assertThat(table.resolve("a", 7, ahead, NOW)).isEqualTo(new AttemptStatus.Unknown());
    }
}
