package org.masticpaddle.gateway;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.masticpaddle.control.LogStream;
import org.masticpaddle.control.OperatorRecord;
import org.masticpaddle.decisions.DecisionLog;
import org.masticpaddle.fleet.Upstream;
import org.masticpaddle.kernel.FakeScheduler;

import static com.google.common.truth.Truth.assertThat;

/** Guards against requests to a version that was found bad, or not yet tried, because the log came back from an older copy. */
class RestoredRolloutTest {
    private static final long ORDER_OFFSET = 3;
    private static final long REWRITTEN_OFFSET = 7;
    private static final Upstream V1 = upstream("v1");
    private static final Upstream V2 = upstream("v2");
    private static final Upstream V3 = upstream("v3");

    private final FakeScheduler scheduler = new FakeScheduler();
    private final FakeStreams streams = new FakeStreams(scheduler);
    private final List<RolloutCoordinator> gateways = new ArrayList<>(List.of(gateway("a"), gateway("b")));

    /** The copy holds the order, and the operator writes it once more all the same. */
    @Test
    void shouldNotSendAgainToAVersionThatWasRolledBackWhoseOrderTheCopyHolds() {
        rollBackV2();
        restore(0);
        order("v2", ORDER_OFFSET);
        simulate(500, V2, true);
        order("v2", REWRITTEN_OFFSET);
        assertV2IsNotUsed(3_000);
    }

    /** The operator had withdrawn the order; the copy is older than the withdrawal and the verdict. */
    @Test
    void shouldNotSendAgainToAVersionThatWasRolledBackWhoseWithdrawalWasLost() {
        rollBackV2();
        gateways.forEach(
                gateway -> gateway.onOperatorRecord(new OperatorRecord.RolloutWithdrawn("s"), ORDER_OFFSET + 1));
        simulate(500, V1, true);
        restore(0);
        order("v2", ORDER_OFFSET);
        assertV2IsNotUsed(3_000);
    }

    /** Requests may not be sent to a new version beyond its share while its order waits. */
    @Test
    void shouldNotSendAllRequestsToAVersionWhoseOrderWaits() {
        rollBackV2();
        restore(0);
        order("v3", REWRITTEN_OFFSET);
        simulate(1_000, V1, true);
        assertThat(sessionsPreferring(V3)).isAtMost(100);
    }

    /** An order that is read after the listing cannot come from the copy. */
    @Test
    void shouldTryAVersionThatIsOrderedAfterTheRestoreWithAShareOfTheSessions() {
        rollBackV2();
        restore(0);
        gateways.forEach(RolloutCoordinator::onOrdersListed);
        order("v3", REWRITTEN_OFFSET);
        simulate(1_000, V1, true);
        assertThat(sessionsPreferring(V3)).isAtMost(100);
    }

    /** As long as the log is away, the operator cannot write the order again. */
    @Test
    void shouldNotReplaceAKnownRolloutByAnOlderOrderDuringAnOutage() {
        rollBackV2();
        restore(0);
        order("v1", 0);
        simulate(500, V1, true);
        streams.setUnavailable(true);
        assertV2IsNotUsed(2 * LogStream.OPERATOR.rewriteTime().toMillis());
    }

    /** The order that waits belongs to a copy that was itself replaced. */
    @Test
    void shouldForgetAWaitingOrderWhenTheLogIsRestoredAgain() {
        rollBackV2();
        restore(0);
        order("v1", 0);
        simulate(LogStream.OPERATOR.rewriteTime().toMillis() - 1_000, V1, true);
        restore(0);
        assertV2IsNotUsed(2_000);
        order("v2", REWRITTEN_OFFSET);
        assertV2IsNotUsed(2_000);
    }

    /** The condition holds by chance, as another gateway has written as many records as were lost. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void shouldNotAppendAStatusByAPositionInTheHistoryBefore(boolean namesEra) {
        if (namesEra) {
            streams.nameEras();
        }
        streams.log(LogStream.STATUS).put("other", "other v1 0 RUNNING");
        final RolloutCoordinator gateway = gateways.get(0);
        gateway.onOperatorRecord(new OperatorRecord.RolloutOrder("s", "v2", Duration.ofSeconds(20)), ORDER_OFFSET);
        scheduler.advance(500);
        if (!namesEra) {
            streams.setUnavailable(true);
            scheduler.advance(3_000);
            streams.setUnavailable(false);
        }
        streams.restore(stream -> 0);
        streams.log(LogStream.STATUS).put("s", "s v2 " + ORDER_OFFSET + " ROLLED_BACK");
        gateway.tick();
        assertThat(streams.statuses()).isEmpty();
    }

    /** Two orders may have the same offset in the two histories; one gateway knows the later one some tenths of a second earlier. */
    @ParameterizedTest
    @ValueSource(longs = {ORDER_OFFSET, REWRITTEN_OFFSET})
    void shouldNotCountTheAnswersOfAnotherVersionWhoseOrderHadTheSameOffset(long offset) {
        streams.nameEras();
        order("v2", ORDER_OFFSET);
        simulate(5_000, V2, true);
        restore(0);
        gateways.forEach(RolloutCoordinator::onOrdersListed);
        final OperatorRecord later = new OperatorRecord.RolloutOrder("s", "v3", Duration.ofSeconds(20));
        gateways.get(0).onOperatorRecord(later, offset);
        simulate(900, V2, true);
        gateways.get(1).onOperatorRecord(later, offset);
        simulate(LogStream.OPERATOR.rewriteTime().toMillis() - 600, V2, true);
        for (int step = 0; step < 40; step++) {
            assertThat(sessionsPreferring(V3)).isAtMost(100);
            simulate(100, V1, true);
        }
    }

    /** The share that the test above holds against, without a restore. */
    @Test
    void shouldTryAnotherVersionWithAShareOfTheSessions() {
        rollBackV2();
        order("v3", REWRITTEN_OFFSET);
        for (int step = 0; step < 20; step++) {
            simulate(100, V1, true);
            assertThat(sessionsPreferring(V3)).isAtMost(100);
        }
    }

    /** Gateways may not disagree on a verdict: the one that the present log holds applies. */
    @Test
    void shouldNotReplaceAVerdictOfTheRestoredLogByTheOneThatWasLost() {
        rollBackV2();
        restore(0);
        order("v2", REWRITTEN_OFFSET);
        streams.log(LogStream.STATUS).put("s", "s v2 " + REWRITTEN_OFFSET + " COMPLETED");
        final int statuses = streams.recordCount(LogStream.STATUS);
        simulate(2_000, V2, true);
        assertThat(streams.recordCount(LogStream.STATUS)).isEqualTo(statuses);
    }

    private void rollBackV2() {
        streams.nameEras();
        order("v2", ORDER_OFFSET);
        simulate(8_000, V2, false);
        assertV2IsNotUsed(100);
    }

    private void restore(int recordCount) {
        streams.restore(stream -> recordCount);
        gateways.forEach(RolloutCoordinator::onHistoryReplaced);
        simulate(500, V1, true);
    }

    private void order(String version, long offset) {
        gateways.forEach(gateway -> gateway.onOperatorRecord(
                new OperatorRecord.RolloutOrder("s", version, Duration.ofSeconds(20)), offset));
    }

    private void assertV2IsNotUsed(long millis) {
        for (long passed = 0; passed < millis; passed += 100) {
            assertThat(sessionsPreferring(V2)).isEqualTo(0);
            simulate(100, V1, true);
        }
        assertThat(sessionsPreferring(V2)).isEqualTo(0);
    }

    /** Returns how many of 500 sessions the first gateway prefers to send to a version. */
    private int sessionsPreferring(Upstream upstream) {
        int count = 0;
        for (int number = 0; number < 500; number++) {
            final VersionRouter.EligibleUpstreams eligible =
                    gateways.get(0).eligibleUpstreams("s", Optional.of("session-" + number), "x");
            count += eligible.preferred().test(upstream) && eligible.permitted().test(upstream) ? 1 : 0;
        }
        return count;
    }

    private void simulate(long millis, Upstream tried, boolean successful) {
        for (long elapsedMillis = 0; elapsedMillis < millis; elapsedMillis += 100) {
            for (final RolloutCoordinator gateway : gateways) {
                answer(gateway, V1, true);
                if (elapsedMillis % 500 == 0) {
                    answer(gateway, tried, successful);
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

    private RolloutCoordinator gateway(String name) {
        final GatewayState state =
                new GatewayState(RolloutDeployment.BOUNDS, RandomSource.XO_RO_SHI_RO_128_PP.create(1L));
        List.of(V1, V2, V3).forEach(upstream -> state.registry().applyEntry(upstream, 0));
        return new RolloutCoordinator(
                name,
                streams,
                new TextControlCodec(),
                state,
                scheduler,
                RandomSource.XO_RO_SHI_RO_128_PP.create(name.hashCode()),
                new DecisionLog(name, () -> 0, text -> {}));
    }

    private static Upstream upstream(String version) {
        return new Upstream(version, "s", URI.create("http://127.0.0.1:1"), "d", version, 8, false, 1, 0);
    }
}
