package org.masticpaddle.gateway;

import java.net.URI;
import java.util.List;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.masticpaddle.control.LogStream;
import org.masticpaddle.control.OperatorRecord;
import org.masticpaddle.decisions.DecisionLog;
import org.masticpaddle.fleet.Upstream;
import org.masticpaddle.kernel.FakeScheduler;

import static com.google.common.truth.Truth.assertThat;

/** Guards against a gateway that believes the older copy from which the log was restored, or what only the lost records said. */
class RestoredLogTest {
    private static final long TICK_MILLIS = 100;
    private static final long REWRITE_MILLIS = LogStream.OPERATOR.rewriteTime().toMillis();

    private final FakeScheduler scheduler = new FakeScheduler();
    private final FakeStreams streams = new FakeStreams(scheduler);
    private final GatewayState state =
            new GatewayState(RolloutDeployment.BOUNDS, RandomSource.XO_RO_SHI_RO_128_PP.create(1L));
    private ControlLogFollower follower;

    @BeforeEach
    void startFollower() {
        streams.nameEras();
        for (final String domain : List.of("a", "b", "c")) {
            register(domain, domain);
        }
        follower = new ControlLogFollower(
                state,
                streams,
                new TextControlCodec(),
                scheduler,
                RandomSource.XO_RO_SHI_RO_128_PP.create(1L),
                new DecisionLog("g", () -> 0, text -> {}),
                new ControlLogFollower.ChangeListener() {
                    @Override
                    public void upstreamListed(Upstream upstream) {}

                    @Override
                    public void upstreamClosed(URI origin) {}

                    @Override
                    public void rolloutRecord(OperatorRecord order, long offset) {}

                    @Override
                    public void orderHistoryReplaced() {}

                    @Override
                    public void ordersListed() {}

                    @Override
                    public void ordersSettled() {}

                    @Override
                    public void logAvailable() {}
                });
        follower.start();
        advance(1_000);
    }

    @Test
    void shouldKeepADomainEvacuatedUntilTheOperatorWritesTheLostOrderAgain() {
        streams.log(LogStream.OPERATOR).put("unrelated", "{}");
        streams.log(LogStream.OPERATOR).put("b", "{}");
        advance(1_000);
        assertThat(members()).containsExactly("a", "c");
        restore(LogStream.OPERATOR, 0);
        advance(REWRITE_MILLIS / 2);
        assertThat(members()).containsExactly("a", "c");
        streams.log(LogStream.OPERATOR).put("b", "{}");
        advance(2 * REWRITE_MILLIS);
        assertThat(members()).containsExactly("a", "c");
    }

    /** The withdrawal has a lower offset than the order that was lost. */
    @Test
    void shouldEndAnEvacuationThatIsWithdrawnInALaterHistory() {
        for (int number = 0; number < 5; number++) {
            streams.log(LogStream.OPERATOR).put("unrelated", "{}");
        }
        streams.log(LogStream.OPERATOR).put("b", "{}");
        advance(1_000);
        restore(LogStream.OPERATOR, 0);
        streams.log(LogStream.OPERATOR).put("b", "{}");
        advance(1_000);
        streams.log(LogStream.OPERATOR).put("b", "");
        advance(1_000);
        assertThat(members()).containsExactly("a", "b", "c");
    }

    @Test
    void shouldEndAnEvacuationThatNobodyOrdersAgain() {
        streams.log(LogStream.OPERATOR).put("b", "{}");
        advance(1_000);
        restore(LogStream.OPERATOR, 0);
        advance(REWRITE_MILLIS + 1_000);
        assertThat(members()).containsExactly("a", "b", "c");
    }

    /** The end of the lost order is noted at an offset that the restored stream has not given out yet. */
    @Test
    void shouldEvacuateADomainThatIsOrderedAfterItsLostOrderHasEnded() {
        streams.log(LogStream.OPERATOR).put("b", "{}");
        advance(1_000);
        restore(LogStream.OPERATOR, 0);
        advance(REWRITE_MILLIS + 1_000);
        streams.log(LogStream.OPERATOR).put("b", "{}");
        advance(1_000);
        assertThat(members()).containsExactly("a", "c");
    }

    /** The copy is older than the withdrawal, and cannot be told from an order that was given since. */
    @Test
    void shouldEvacuateADomainAgainUntilItsLostWithdrawalIsWrittenAgain() {
        streams.log(LogStream.OPERATOR).put("b", "{}");
        streams.log(LogStream.OPERATOR).put("b", "");
        advance(1_000);
        assertThat(members()).containsExactly("a", "b", "c");
        restore(LogStream.OPERATOR, 1);
        advance(1_000);
        assertThat(members()).containsExactly("a", "c");
        streams.log(LogStream.OPERATOR).put("b", "");
        advance(1_000);
        assertThat(members()).containsExactly("a", "b", "c");
    }

    @Test
    void shouldNotSendToADrainingUpstreamThatTheCopyListsAsReady() {
        register("a", "a draining");
        advance(1_500);
        assertThat(members()).containsExactly("b", "c");
        restore(LogStream.UPSTREAMS, 3);
        advance(1_500);
        assertThat(members()).containsExactly("b", "c");
    }

    @Test
    void shouldNotSendToARemovedUpstreamBeforeItRegistersAgain() {
        register("a", "");
        advance(1_500);
        restore(LogStream.UPSTREAMS, 3);
        advance(1_500);
        assertThat(members()).containsExactly("b", "c");
        register("a", "a");
        advance(1_500);
        assertThat(members()).containsExactly("a", "b", "c");
    }

    @Test
    void shouldKeepAnUpstreamThatTheCopyLacksForTheTimeToRegisterAgain() {
        register("d", "d");
        register("e", "e");
        advance(1_500);
        restore(LogStream.UPSTREAMS, 3);
        advance(1_500);
        assertThat(members()).containsExactly("a", "b", "c", "d", "e");
        register("d", "d");
        advance(5_000);
        assertThat(members()).containsExactly("a", "b", "c", "d");
    }

    /** Load pattern: upstreams register again within two seconds, and a gateway reads the list at intervals from a slow log. */
    @ParameterizedTest
    @ValueSource(ints = {10, 12, 14, 16, 18, 19})
    void shouldKeepAnUpstreamThatRegistersAgainWithinTwoSeconds(int registrationStep) {
        register("d", "d");
        advance(5_000);
        streams.log(LogStream.UPSTREAMS).setSlowResponse(250);
        advance(5_000);
        restore(LogStream.UPSTREAMS, 3);
        for (int step = 0; step < 60; step++) {
            if (step == registrationStep) {
                register("d", "d");
            }
            advance(100);
            assertThat(members()).containsExactly("a", "b", "c", "d");
        }
    }

    private void register(String id, String value) {
        streams.log(LogStream.UPSTREAMS).put(id, value);
    }

    /** Restores one stream from a copy with its first records; the others lose nothing. */
    private void restore(LogStream restored, int recordCount) {
        streams.restore(stream -> stream == restored ? recordCount : Integer.MAX_VALUE);
    }

    private void advance(long millis) {
        for (long passed = 0; passed < millis; passed += TICK_MILLIS) {
            scheduler.advance(TICK_MILLIS);
            follower.updateTiming(false);
            follower.removeExpiredUpstreams();
        }
    }

    private List<String> members() {
        return state.registry().members("s").stream()
                .map(member -> member.upstream().id())
                .sorted()
                .toList();
    }
}
