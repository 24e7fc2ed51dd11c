package org.masticpaddle.admission;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against shares that add up to more than the whole, and against a gateway that never gets a share. */
class TrafficShareTest {
    private static final long TICK = 100_000_000L;

    @Test
    void shouldFollowOwnPartOfTheTraffic() {
        final TrafficShare share = new TrafficShare();
        observe(share, 10, 40, 0, 200);
        assertThat(share.share(0)).isWithin(0.01).of(0.25);
        observe(share, 30, 40, 200, 400);
        assertThat(share.share(0)).isWithin(0.02).of(0.75);
    }

    @Test
    void shouldKeepSumOfSharesNearOneWhileAllGatewaysWait() {
        double sum = 0;
        for (int gateway = 0; gateway < 4; gateway++) {
            final TrafficShare share = new TrafficShare();
            observe(share, 10, 40, 0, 200);
            sum += share.share(100);
        }
        assertThat(sum).isAtMost(1.2);
    }

    @Test
    void shouldGiveGatewayWithoutTrafficAShare() {
        final TrafficShare share = new TrafficShare();
        assertThat(share.share(0)).isEqualTo(TrafficShare.UNKNOWN_SHARE);
        observe(share, 0, 40, 0, 100);
        assertThat(share.share(0)).isGreaterThan(0.0);
        assertThat(share.share(5)).isGreaterThan(10 * share.share(0));
    }

    @Test
    void shouldNotExceedTheWholeIfReportsLag() {
        final TrafficShare share = new TrafficShare();
        observe(share, 10, 2, 0, 100);
        assertThat(share.share(0)).isEqualTo(1.0);
    }

    @Test
    void shouldGiveGatewaysWithoutTrafficLittleTogether() {
        double sum = 0;
        for (int gateway = 0; gateway < 300; gateway++) {
            final TrafficShare share = new TrafficShare();
            observe(share, 0, 300, 0, 100);
            sum += share.share(0);
        }
        assertThat(sum).isAtMost(0.2);
    }

    /** The first observation comes with the first answer, before a gateway's own requests are many. */
    @Test
    void shouldNotHoldFirstObservationForLong() {
        final TrafficShare share = new TrafficShare();
        share.observe(0, 150, 0);
        observe(share, 10, 40, 1, 30);
        assertThat(share.observedShare(29 * TICK).orElseThrow()).isAtLeast(0.2);
        assertThat(share.observedShare(29 * TICK).orElseThrow()).isAtMost(0.25);
    }

    private static void observe(TrafficShare share, double own, double total, int fromTick, int toTick) {
        for (int tick = fromTick; tick < toTick; tick++) {
            share.observe(own, total, tick * TICK);
        }
    }
}
