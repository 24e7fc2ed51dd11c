package org.masticpaddle.fleet;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/** Guards against upstreams that are flooded after a start or recovery, and against those that are left idle. */
class PaceWindowTest {
    private static final long SECOND = 1_000_000_000L;
    private static final PaceWindow.Peers PEERS = new PaceWindow.Peers(true, 1, 8, 20, 0, 0, 0);
    private static final long[] SEEDS = {1, 2, 3};
    private static final long MANY_SEEDS = 12;

    private final PaceWindow window = new PaceWindow();

    /** An upstream that answers as its peers do has half of its fair share after two seconds. */
    @ParameterizedTest
    @ValueSource(ints = {1, 4, 22, 33})
    void shouldGiveASoundUpstreamItsShareSoon(int gateways) {
        for (final long seed : SEEDS) {
            assertWithMessage("seed %s", seed)
                    .that(trial(gateways, PaceTrial.Upstream.SOUND, PacePolicies.ADAPTIVE, seed)
                            .millisToHalfShare())
                    .isAtMost(2_000);
        }
    }

    /** Errors and slow answers that its peers have as well do not shut it. */
    @ParameterizedTest
    @ValueSource(ints = {1, 4, 22, 33})
    void shouldGiveAnUpstreamItsShareThatIsAsUnevenAsItsPeers(int gateways) {
        for (long seed = 1; seed <= MANY_SEEDS; seed++) {
            assertWithMessage("seed %s", seed)
                    .that(trial(gateways, PaceTrial.Upstream.UNEVEN, PacePolicies.ADAPTIVE, seed)
                            .millisToHalfShare())
                    .isAtMost(2_000);
        }
    }

    /** Once it answers as its peers do, it has half of its share before the window ends by time. */
    @ParameterizedTest
    @ValueSource(ints = {1, 4, 22, 33})
    void shouldFloodNoUpstreamThatIsSlowAtFirst(int gateways) {
        int late = 0;
        int lateWithoutPace = 0;
        for (final long seed : SEEDS) {
            final PaceTrial paced = trial(gateways, PaceTrial.Upstream.SLOW_AT_FIRST, PacePolicies.ADAPTIVE, seed);
            late += paced.late();
            lateWithoutPace += trial(gateways, PaceTrial.Upstream.SLOW_AT_FIRST, PacePolicies.NONE, seed)
                    .late();
            assertWithMessage("seed %s", seed).that(paced.millisToHalfShare()).isAtMost(8_000);
        }
        assertThat(late).isLessThan(lateWithoutPace);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 4, 22, 33})
    void shouldNotHideAnUpstreamThatStaysSlow(int gateways) {
        for (final long seed : SEEDS) {
            final PaceTrial trial = trial(gateways, PaceTrial.Upstream.HALF_SPEED, PacePolicies.ADAPTIVE, seed);
            // One request takes more than a second.
            for (long second = 0; second < 8_000; second += 2_000) {
                assertWithMessage("seed %s", seed)
                        .that(trial.sent(second, second + 2_000))
                        .isAtLeast(1);
            }
            assertThat(trial.sent(9_000, 10_000)).isAtLeast((long) PaceTrial.FAIR_PER_SECOND / 2);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 4, 22, 33})
    void shouldLoseFewerRequestsAtAnUpstreamThatFlaps(int gateways) {
        int lost = 0;
        int lostWithoutPace = 0;
        for (final long seed : SEEDS) {
            lost += trial(gateways, PaceTrial.Upstream.FLAPPING, PacePolicies.ADAPTIVE, seed)
                    .lost();
            lostWithoutPace += trial(gateways, PaceTrial.Upstream.FLAPPING, PacePolicies.NONE, seed)
                    .lost();
        }
        assertThat(lost).isAtMost(lostWithoutPace);
    }

    /** Prints the figures of docs/design/pace.md. */
    @Test
    void shouldFloodLessOrOpenSoonerThanWhatWasWeighed() {
        final Map<PacePolicies, Map<PaceTrial.Upstream, Figures>> all = new EnumMap<>(PacePolicies.class);
        for (final PacePolicies policy : PacePolicies.values()) {
            final Map<PaceTrial.Upstream, Figures> figures = new EnumMap<>(PaceTrial.Upstream.class);
            for (final PaceTrial.Upstream upstream : PaceTrial.Upstream.values()) {
                figures.put(upstream, figures(policy, upstream));
            }
            all.put(policy, figures);
            System.out.println(policy + " " + figures);
        }
        final Figures slow = all.get(PacePolicies.ADAPTIVE).get(PaceTrial.Upstream.SLOW_AT_FIRST);
        for (final PacePolicies flooding :
                List.of(PacePolicies.NONE, PacePolicies.SLOW_START_BY_TIME, PacePolicies.SINGLE_PROBE)) {
            assertThat(slow.late())
                    .isLessThan(all.get(flooding)
                            .get(PaceTrial.Upstream.SLOW_AT_FIRST)
                            .late());
        }
        final Figures sound = all.get(PacePolicies.ADAPTIVE).get(PaceTrial.Upstream.SOUND);
        for (final PacePolicies idle : List.of(PacePolicies.ADDITIVE_INCREASE, PacePolicies.LATENCY_GRADIENT)) {
            assertThat(sound.millisToHalfShare())
                    .isLessThan(all.get(idle).get(PaceTrial.Upstream.SOUND).millisToHalfShare());
        }
    }

    private static Figures figures(PacePolicies policy, PaceTrial.Upstream upstream) {
        int late = 0;
        int lost = 0;
        long millis = 0;
        for (final int gateways : new int[] {1, 4, 22, 33}) {
            for (final long seed : SEEDS) {
                final PaceTrial trial = trial(gateways, upstream, policy, seed);
                late += trial.late();
                lost += trial.lost();
                millis = Math.max(millis, trial.millisToHalfShare());
            }
        }
        return new Figures(late, lost, millis);
    }

    /** Late answers and losses of all trials, and the longest time to half of the fair share. */
    private record Figures(int late, int lost, long millisToHalfShare) {}

    @Test
    void shouldAllowOneRequestAtFirstAndOneMoreForEachGoodAnswer() {
        window.setPeers(PEERS);
        window.begin(0);
        assertThat(window.allows(0, 0)).isTrue();
        assertThat(window.allows(1, 0)).isFalse();
        window.onAnswer(100, 100, SECOND);
        assertThat(window.allows(1, 0)).isTrue();
        assertThat(window.allows(2, 0)).isFalse();
    }

    @Test
    void shouldEndWhenTheWindowExceedsThePeersRequests() {
        window.setPeers(PEERS);
        window.begin(0);
        for (int count = 0; count < 15; count++) {
            window.onAnswer(100, 110, SECOND);
        }
        assertThat(window.allows(1_000, 0)).isTrue();
    }

    @Test
    void shouldStopAtTheFirstSlowAnswerAndCloseAtALoss() {
        window.setPeers(PEERS);
        window.begin(0);
        for (int count = 0; count < 9; count++) {
            window.onAnswer(100, 100, SECOND);
        }
        assertThat(window.allows(9, 0)).isTrue();
        window.onAnswer(100, 200, SECOND);
        assertThat(window.allows(7, 0)).isFalse();
        assertThat(window.allows(6, 0)).isTrue();
        window.onFailure(SECOND);
        assertThat(window.allows(0, 0)).isTrue();
        assertThat(window.allows(1, 0)).isFalse();
    }

    @Test
    void shouldShrinkOnceForRequestsThatWereSentTogether() {
        window.setPeers(PEERS);
        window.begin(0);
        for (int count = 0; count < 9; count++) {
            window.onAnswer(100, 100, SECOND);
        }
        window.onAnswer(100, 200, 2 * SECOND);
        window.onAnswer(100, 300, 2 * SECOND);
        assertThat(window.allows(6, 2 * SECOND)).isTrue();
        window.onAnswer(100, 200, 3 * SECOND);
        assertThat(window.allows(6, 3 * SECOND)).isFalse();
    }

    @Test
    void shouldCompareErrorsWithThoseOfThePeers() {
        window.setPeers(new PaceWindow.Peers(true, 1, 8, 20, 0, 0.1, 0));
        window.begin(0);
        window.onAnswer(100, 100, SECOND);
        window.onErrorResponse(SECOND);
        assertThat(window.allows(1, SECOND)).isTrue();
        window.onErrorResponse(SECOND);
        window.onErrorResponse(SECOND);
        assertThat(window.allows(1, SECOND)).isFalse();
    }

    @Test
    void shouldCompareSlowAnswersWithThoseOfThePeers() {
        window.setPeers(new PaceWindow.Peers(true, 1, 8, 20, 0, 0, 0.1));
        window.begin(0);
        window.onAnswer(100, 100, SECOND);
        window.onAnswer(100, 100, SECOND);
        window.onAnswer(100, 250, SECOND);
        window.onAnswer(100, 250, SECOND);
        assertThat(window.allows(2, SECOND)).isTrue();
        window.onAnswer(100, 250, SECOND);
        assertThat(window.allows(2, SECOND)).isFalse();
    }

    @Test
    void shouldCompareTheQueueWithThoseOfThePeers() {
        window.setPeers(new PaceWindow.Peers(true, 1, 8, 80, 10, 0, 0));
        window.begin(0);
        window.onAnswer(100, 100, SECOND);
        window.onReport(new ReportedLoad(30, 12, 64), SECOND);
        assertThat(window.allows(1, SECOND)).isTrue();
        window.onReport(new ReportedLoad(30, 20, 64), SECOND);
        assertThat(window.allows(1, SECOND)).isFalse();
        window.onReport(new ReportedLoad(64, 11, 64), SECOND);
        assertThat(window.allows(100, SECOND)).isTrue();
    }

    @Test
    void shouldCompareAnswersWithThoseOfThePeers() {
        window.setPeers(new PaceWindow.Peers(true, 3, 8, 20, 0, 0, 0));
        window.begin(0);
        window.onAnswer(100, 400, SECOND);
        assertThat(window.allows(1, 0)).isTrue();
    }

    @Test
    void shouldLearnFromReportsOfOthersRequests() {
        window.setPeers(PEERS);
        window.begin(0);
        window.onReport(new ReportedLoad(4, 0, 64), SECOND);
        assertThat(window.allows(1, 0)).isFalse();
        window.onReport(new ReportedLoad(16, 0, 64), SECOND);
        assertThat(window.allows(100, 0)).isTrue();
    }

    @Test
    void shouldLimitNothingWithoutPeersThatAreOpenOrAfterItsTime() {
        window.begin(0);
        assertThat(window.allows(100, 0)).isTrue();
        window.setPeers(PEERS);
        assertThat(window.allows(100, 0)).isFalse();
        assertThat(window.allows(100, 8 * SECOND)).isTrue();
    }

    private static PaceTrial trial(int gateways, PaceTrial.Upstream upstream, PacePolicies policy, long seed) {
        return new PaceTrial(gateways, upstream, policy.windows(gateways, upstream), seed).run();
    }
}
