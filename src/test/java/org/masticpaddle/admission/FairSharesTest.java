package org.masticpaddle.admission;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against organisations that count as above their shares although nobody lacks anything. */
class FairSharesTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final FairShares shares = new FairShares();
    private long now = NANOS_PER_MILLI;

    @Test
    void shouldNotKnowTheCapacityAfterAQuietSpell() {
        for (int step = 0; step < 2_000; step++) {
            now += 2 * NANOS_PER_MILLI;
            request("o" + step % 10);
            shares.complete(1, now);
        }
        now += 15_000 * NANOS_PER_MILLI;
        for (int index = 0; index < 200; index++) {
            request("o" + index % 10);
            assertThat(shares.exceeded("o" + index % 10, 0, now)).isFalse();
        }
    }

    @Test
    void shouldNotHoldBackAnOrganisationThatIsAlone() {
        for (int step = 0; step < 2_000; step++) {
            now += 2 * NANOS_PER_MILLI;
            request("alone");
            if (step % 2 == 0) {
                shares.complete(1, now);
            }
            assertThat(shares.exceeded("alone", 0, now)).isFalse();
        }
    }

    @Test
    void shouldNotHoldBackEqualOrganisationsThatAllLackSome() {
        for (int step = 0; step < 4_000; step++) {
            now += 2 * NANOS_PER_MILLI;
            request("o" + step % 10);
            if (step % 4 == 0) {
                shares.complete(1, now);
            }
        }
        assertThat(shares.exceeded("o0", 0, now)).isFalse();
    }

    @Test
    void shouldCompareOrganisationsAgainWhenAnotherOneAsks() {
        for (int step = 0; step < 1_000; step++) {
            now += 2 * NANOS_PER_MILLI;
            request("large");
            if (step % 2 == 0) {
                shares.complete(1, now);
            }
        }
        request("small");
        assertThat(shares.exceeded("large", 0, now)).isTrue();
        assertThat(shares.exceeded("small", 0, now)).isFalse();
        assertThat(shares.millisUntilWithin("large", 0, now)).isGreaterThan(0.0);
    }

    @Test
    void shouldNotCompareRequestsOfNoOrganisation() {
        for (int step = 0; step < 1_000; step++) {
            now += 2 * NANOS_PER_MILLI;
            request("");
            if (step % 2 == 0) {
                shares.complete(1, now);
            }
        }
        request("small");
        assertThat(shares.exceeded("", 0, now)).isFalse();
    }

    private void request(String organisation) {
        shares.offer(organisation, 1, now);
        shares.send(organisation, 0, 1, now);
    }
}
