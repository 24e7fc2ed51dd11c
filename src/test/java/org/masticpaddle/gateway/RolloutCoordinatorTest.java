package org.masticpaddle.gateway;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.masticpaddle.control.LogStream;
import org.masticpaddle.control.NewestPage;
import org.masticpaddle.control.OperatorRecord;
import org.masticpaddle.control.RolloutProgress;
import org.masticpaddle.control.RolloutStatus;
import org.masticpaddle.decisions.DecisionLog;
import org.masticpaddle.fleet.Upstream;
import org.masticpaddle.kernel.FakeScheduler;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against gateways that disagree on a rollout: two different verdicts, a session on different versions, or a verdict
 * that is lost in an outage of the log.
 */
class RolloutCoordinatorTest {
    private static final long ORDER_OFFSET = 3;
    private static final long REWRITTEN_OFFSET = 1;
    private static final Upstream OLD = upstream("old", "v1");
    private static final Upstream NEW = upstream("new", "v2");

    private final FakeScheduler scheduler = new FakeScheduler();
    private final FakeStreams sharedLog = new FakeStreams(scheduler);
    private final List<RolloutCoordinator> gateways = new ArrayList<>(List.of(gateway("a"), gateway("b")));

    @Test
    void shouldWriteEachStatusOnceAndCompleteGoodVersion() {
        orderRollout();
        simulate(19_000, true);
        assertThat(sharedLog.statuses())
                .containsExactly(RolloutProgress.RUNNING, RolloutProgress.COMPLETED)
                .inOrder();
        for (final RolloutCoordinator gateway : gateways) {
            assertThat(isPermitted(gateway, OLD)).isFalse();
            assertThat(isPermitted(gateway, NEW)).isTrue();
        }
    }

    @Test
    void shouldRollBackBadVersionAtAllGateways() {
        orderRollout();
        simulate(8_000, false);
        assertThat(sharedLog.statuses())
                .containsExactly(RolloutProgress.RUNNING, RolloutProgress.ROLLED_BACK)
                .inOrder();
        for (final RolloutCoordinator gateway : gateways) {
            assertThat(isPermitted(gateway, NEW)).isFalse();
        }
    }

    @Test
    void shouldChooseSameVersionForSessionAtAllGateways() {
        orderRollout();
        simulate(11_500, true);
        for (int sessionNumber = 0; sessionNumber < 500; sessionNumber++) {
            final Optional<String> session = Optional.of("session-" + sessionNumber);
            final boolean first = gateways.get(0)
                    .eligibleUpstreams("s", session, "x")
                    .preferred()
                    .test(NEW);
            assertThat(gateways.get(1)
                            .eligibleUpstreams("s", session, "y")
                            .preferred()
                            .test(NEW))
                    .isEqualTo(first);
        }
    }

    @Test
    void shouldWriteVerdictAfterLogOutage() {
        orderRollout();
        simulate(500, true);
        sharedLog.setUnavailable(true);
        simulate(4_000, false);
        assertThat(sharedLog.statuses()).containsExactly(RolloutProgress.RUNNING);
        assertThat(gateways.get(0)
                        .eligibleUpstreams("s", Optional.empty(), "x")
                        .preferred()
                        .test(NEW))
                .isFalse();
        sharedLog.setUnavailable(false);
        simulate(3_000, false);
        assertThat(sharedLog.statuses()).containsExactly(RolloutProgress.RUNNING, RolloutProgress.ROLLED_BACK);
    }

    @Test
    void shouldPreferOldVersionUntilStatusIsKnown() {
        orderRollout();
        simulate(8_000, false);
        sharedLog.setUnavailable(true);
        final RolloutCoordinator restarted = gateway("c");
        restarted.onOperatorRecord(new OperatorRecord.RolloutOrder("s", "v2", Duration.ofSeconds(20)), ORDER_OFFSET);
        for (int sessionNumber = 0; sessionNumber < 500; sessionNumber++) {
            assertThat(restarted
                            .eligibleUpstreams("s", Optional.of("session-" + sessionNumber), "x")
                            .preferred()
                            .test(NEW))
                    .isFalse();
        }
        sharedLog.setUnavailable(false);
        scheduler.advance(2_000);
        assertThat(isPermitted(restarted, NEW)).isFalse();
    }

    /** The operator writes the order again, at an offset that it did not have before. */
    @Test
    void shouldNotSendAgainToAVersionThatWasRolledBackBeforeTheLogWasRestored() {
        sharedLog.nameEras();
        orderRollout();
        simulate(8_000, false);
        restoreLog();
        orderRollout(REWRITTEN_OFFSET);
        for (int step = 0; step < 50; step++) {
            gateways.forEach(gateway -> assertThat(isPermitted(gateway, NEW)).isFalse());
            simulate(100, true);
        }
        assertThat(newestStatus().progress()).isEqualTo(RolloutProgress.ROLLED_BACK);
        assertThat(newestStatus().order()).isEqualTo(REWRITTEN_OFFSET);
    }

    @Test
    void shouldTellAGatewayThatStartsAfterARestoreOfTheVerdictBeforeIt() {
        sharedLog.nameEras();
        orderRollout();
        simulate(8_000, false);
        restoreLog();
        orderRollout(REWRITTEN_OFFSET);
        simulate(2_000, true);
        final RolloutCoordinator restarted = gateway("c");
        restarted.onOperatorRecord(
                new OperatorRecord.RolloutOrder("s", "v2", Duration.ofSeconds(20)), REWRITTEN_OFFSET);
        scheduler.advance(200);
        assertThat(isPermitted(restarted, NEW)).isFalse();
    }

    @Test
    void shouldCompleteARolloutInTimeAcrossARestore() {
        sharedLog.nameEras();
        orderRollout();
        simulate(10_000, true);
        restoreLog();
        orderRollout(REWRITTEN_OFFSET);
        simulate(9_000, true);
        assertThat(newestStatus().progress()).isEqualTo(RolloutProgress.COMPLETED);
        assertThat(newestStatus().order()).isEqualTo(REWRITTEN_OFFSET);
    }

    /** The copy holds an order that was replaced by the present one. */
    @Test
    void shouldContinueARolloutWhileTheRestoredLogNamesAnEarlierOne() {
        sharedLog.nameEras();
        orderRollout();
        simulate(8_000, false);
        restoreLog();
        gateways.forEach(gateway ->
                gateway.onOperatorRecord(new OperatorRecord.RolloutOrder("s", "v1", Duration.ofSeconds(20)), 0));
        simulate(2_000, true);
        gateways.forEach(gateway -> assertThat(isPermitted(gateway, OLD)).isTrue());
        gateways.forEach(gateway -> assertThat(isPermitted(gateway, NEW)).isFalse());
        orderRollout(REWRITTEN_OFFSET);
        simulate(2_000, true);
        gateways.forEach(gateway -> assertThat(isPermitted(gateway, NEW)).isFalse());
        assertThat(newestStatus().progress()).isEqualTo(RolloutProgress.ROLLED_BACK);
    }

    @Test
    void shouldStartAnotherRolloutThatIsOrderedAgainInTheSameHistory() {
        orderRollout();
        simulate(8_000, false);
        orderRollout(ORDER_OFFSET + 1);
        simulate(4_000, true);
        assertThat(sharedLog.statuses())
                .containsExactly(RolloutProgress.RUNNING, RolloutProgress.ROLLED_BACK, RolloutProgress.RUNNING)
                .inOrder();
    }

    /** Restores the log from a copy that was made before the order. */
    private void restoreLog() {
        sharedLog.restore(stream -> 0);
        gateways.forEach(RolloutCoordinator::onHistoryReplaced);
        simulate(500, true);
    }

    private RolloutStatus newestStatus() {
        final NewestPage page = sharedLog.newest(LogStream.STATUS, "").join();
        return new TextControlCodec().rolloutStatus(page.records().get(0));
    }

    private void orderRollout() {
        orderRollout(ORDER_OFFSET);
    }

    private void orderRollout(long offset) {
        gateways.forEach(gateway ->
                gateway.onOperatorRecord(new OperatorRecord.RolloutOrder("s", "v2", Duration.ofSeconds(20)), offset));
    }

    /**
     * Simulates traffic in steps of 100 ms: at each gateway ten requests a second on the old version and two on the new one.
     */
    private void simulate(long millis, boolean successful) {
        for (long elapsedMillis = 0; elapsedMillis < millis; elapsedMillis += 100) {
            for (final RolloutCoordinator gateway : gateways) {
                answer(gateway, OLD, true);
                if (elapsedMillis % 500 == 0) {
                    answer(gateway, NEW, successful);
                }
                gateway.tick();
            }
            scheduler.advance(100);
        }
    }

    private static void answer(RolloutCoordinator gateway, Upstream upstream, boolean successful) {
        gateway.attemptSent(new VersionRouter.SentAttempt("x", Optional.empty(), upstream, "r", 10, 0))
                .onEnd(successful ? AttemptEnd.ANSWERED : AttemptEnd.FAILED);
    }

    private static boolean isPermitted(RolloutCoordinator gateway, Upstream upstream) {
        return gateway.eligibleUpstreams("s", Optional.of("any"), "x")
                .permitted()
                .test(upstream);
    }

    private RolloutCoordinator gateway(String name) {
        return new RolloutCoordinator(
                name,
                sharedLog,
                new TextControlCodec(),
                new GatewayState(RolloutDeployment.BOUNDS, RandomSource.XO_RO_SHI_RO_128_PP.create(1L)),
                scheduler,
                RandomSource.XO_RO_SHI_RO_128_PP.create(name.hashCode()),
                new DecisionLog(name, () -> 0, text -> {}));
    }

    private static Upstream upstream(String id, String version) {
        return new Upstream(id, "s", URI.create("http://127.0.0.1:1"), "d", version, 8, false, 1, 0);
    }
}
