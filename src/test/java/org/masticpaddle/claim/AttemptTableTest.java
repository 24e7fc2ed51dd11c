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
        assertThat(table.accept("a", 6, NOW, NOW)).isEqualTo(Admission.OTHER_INCARNATION);
        assertThat(table.accept("a", 7, NOW, NOW)).isEqualTo(Admission.RUN);
        assertThat(table.accept("a", 7, NOW, NOW)).isEqualTo(Admission.REPEATED);
        assertThat(table.accept("b", 0, NOW, NOW)).isEqualTo(Admission.RUN);
        assertThat(table.settle("a", 7, NOW, NOW)).isEqualTo(new Settlement.Running());
        assertThat(table.settle("a", 6, NOW, NOW)).isEqualTo(new Settlement.Unknown());
    }

    @Test
    void shouldNeverRunASealedAttempt() {
        assertThat(table.settle("a", 7, NOW, NOW)).isEqualTo(new Settlement.Sealed());
        assertThat(table.accept("a", 7, NOW, NOW)).isEqualTo(Admission.SEALED);
        table.accept("b", 7, NOW, NOW);
        table.notRun("b");
        table.answered("b", 200, new byte[0]);
        assertThat(table.settle("b", 7, NOW, NOW)).isEqualTo(new Settlement.Sealed());
    }

    @Test
    void shouldKeepAnswersUpToTheirBounds() {
        table.accept("a", 7, NOW, NOW);
        table.accept("b", 7, NOW, NOW);
        table.answered("a", 201, new byte[4]);
        table.answered("a", 500, new byte[1]);
        table.answered("b", 200, new byte[3]);
        final Settlement.Answered kept = (Settlement.Answered) table.settle("a", 7, NOW, NOW);
        final Settlement.Answered cut = (Settlement.Answered) table.settle("b", 7, NOW, NOW);
        assertThat(kept.status()).isEqualTo(201);
        assertThat(kept.answer().orElseThrow()).hasLength(4);
        assertThat(cut.answer()).isEmpty();
        assertThat(table.answerBytes()).isEqualTo(4);
    }

    @Test
    void shouldSayUnknownAfterARunWithoutAnAnswer() {
        table.accept("a", 7, NOW, NOW);
        table.lost("a");
        assertThat(table.settle("a", 7, NOW, NOW)).isEqualTo(new Settlement.Unknown());
    }

    @Test
    void shouldRefuseWhenFullRatherThanForget() {
        table.accept("a", 7, NOW, NOW);
        table.accept("b", 7, NOW, NOW);
        assertThat(table.accept("c", 7, NOW, NOW)).isEqualTo(Admission.FULL);
        assertThat(table.settle("c", 7, NOW, NOW)).isEqualTo(new Settlement.Unknown());
        assertThat(table.accept("a", 7, NOW, NOW)).isEqualTo(Admission.REPEATED);
    }

    @Test
    void shouldRefuseAnAttemptThatItMayHaveForgotten() {
        table.accept("a", 7, NOW, NOW);
        table.answered("a", 200, new byte[4]);
        assertThat(table.accept("a", 7, NOW, NOW + LIFETIME - 1)).isEqualTo(Admission.REPEATED);
        assertThat(table.accept("a", 7, NOW, NOW + LIFETIME)).isEqualTo(Admission.EXPIRED);
        assertThat(table.accept("a", 7, NOW, NOW)).isEqualTo(Admission.EXPIRED);
        assertThat(table.settle("a", 7, NOW, NOW)).isEqualTo(new Settlement.Unknown());
        assertThat(table.size()).isEqualTo(0);
        assertThat(table.answerBytes()).isEqualTo(0);
    }

    @Test
    void shouldRefuseAnAttemptFromTheFuture() {
        final long ahead = NOW + ClaimLedger.MARGIN_MILLIS + 1;
        assertThat(table.accept("a", 7, ahead, NOW)).isEqualTo(Admission.TOO_FAR_AHEAD);
        assertThat(table.settle("a", 7, ahead, NOW)).isEqualTo(new Settlement.Unknown());
    }
}
