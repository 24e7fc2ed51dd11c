package org.masticpaddle.gateway;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.masticpaddle.control.LogPosition;
import org.masticpaddle.control.LogStream;
import org.masticpaddle.control.OperatorRecord;
import org.masticpaddle.control.SharedLog;
import org.masticpaddle.decisions.DecisionLog;
import org.masticpaddle.fleet.Availability;
import org.masticpaddle.fleet.Upstream;
import org.masticpaddle.fleet.UpstreamState;
import org.masticpaddle.kernel.FakeScheduler;
import org.masticpaddle.routes.RequestLimits;
import org.masticpaddle.routes.RoutingTable;

import static com.google.common.truth.Truth.assertThat;

/** Guards against orders on failure domains that a gateway misses, or that it keeps after they were taken back. */
class EvacuationOrdersTest {
    private static final String SERVICE = "s";
    /** Longest time after which a gateway has to know an order, also if its reads failed before. */
    private static final long SETTLING_MILLIS =
            RolloutDeployment.BOUNDS.settling().toMillis();

    private final FakeScheduler scheduler = new FakeScheduler();
    private final FakeStreams streams = new FakeStreams(scheduler);
    private final List<URI> closed = new ArrayList<>();
    private final List<String> lines = new ArrayList<>();
    private GatewayState state;

    @BeforeEach
    void listUpstreams() {
        for (final String domain : List.of("a", "b", "c")) {
            streams.log(LogStream.UPSTREAMS).put("upstream-" + domain, domain);
        }
    }

    @Test
    void shouldCloseIdleConnectionsOnceWhenAnOrderComesIntoForce() {
        startGateway();
        order("b");
        scheduler.advance(20);
        assertThat(closed).containsExactly(URI.create("http://upstream-b:1"));
        assertThat(members()).containsExactly("upstream-a", "upstream-c");
        order("b");
        scheduler.advance(20);
        assertThat(closed).hasSize(1);
        withdraw("b");
        scheduler.advance(20);
        assertThat(members()).hasSize(3);
    }

    @Test
    void shouldKnowTheOrdersThatWereGivenBeforeItsStart() {
        order("b");
        order("a");
        withdraw("b");
        streams.log(LogStream.OPERATOR).compact();
        startGateway();
        scheduler.advance(20);
        assertThat(members()).containsExactly("upstream-b", "upstream-c");
    }

    @Test
    void shouldKeepWhatItKnowsInAnOutageAndLearnTheRestAfterAHistoryIsLost() {
        startGateway();
        order("a");
        order("b");
        scheduler.advance(20);
        streams.setUnavailable(true);
        // The read that is held ends without a record.
        scheduler.advance(SETTLING_MILLIS);
        withdraw("a");
        order("c");
        streams.log(LogStream.OPERATOR).compact();
        scheduler.advance(10 * SETTLING_MILLIS);
        assertThat(members()).containsExactly("upstream-c");
        streams.setUnavailable(false);
        scheduler.advance(SETTLING_MILLIS);
        assertThat(members()).containsExactly("upstream-a");
        assertThat(state.registry().evacuatedDomains()).containsExactly("b", "c");
    }

    @Test
    void shouldExcludeUpstreamsThatAreListedWhileTheOrderIsInForce() {
        startGateway();
        order("a");
        scheduler.advance(20);
        streams.log(LogStream.UPSTREAMS).put("upstream-new", "a");
        scheduler.advance(5_000);
        final UpstreamState added = state.registry().find("upstream-new").orElseThrow();
        assertThat(added.availability(scheduler.nanos())).isEqualTo(Availability.DOMAIN_EVACUATED);
        assertThat(members()).containsExactly("upstream-b", "upstream-c");
    }

    @Test
    void shouldServeNothingBeforeAllOrdersAreListed() {
        state = gatewayState();
        state.applyTable(
                RoutingTable.of(1, Set.of(), Map.of(), Set.of(), RequestLimits.DEFAULT, false),
                new LogPosition(SharedLog.NO_ERA, 0));
        state.markUpstreamsListed();
        assertThat(state.started()).isFalse();
        state.recordConfirmation(1);
        assertThat(state.started()).isTrue();
    }

    @Test
    void shouldWriteEachChangeWithItsInputs() {
        startGateway();
        scheduler.advance(2_000);
        state.registry().find("upstream-b").orElseThrow().assign("", List.of(), 0, 0, 0, scheduler.nanos());
        final DecisionLog log = new DecisionLog("g", () -> 0, lines::add);
        log.start();
        final EvacuationOrders orders = new EvacuationOrders(state.registry(), closed::add, scheduler::nanos, log);
        orders.onOperatorRecord(new OperatorRecord.EvacuationOrder("b"), 7);
        orders.onOperatorRecord(new OperatorRecord.EvacuationOrder("b"), 8);
        orders.onOperatorRecord(new OperatorRecord.EvacuationWithdrawn("b"), 6);
        orders.onOperatorRecord(new OperatorRecord.EvacuationWithdrawn("b"), 9);
        log.stop();
        final String text = String.join("", lines);
        assertThat(text.lines().map(line -> line.replaceAll("\\{\"time\":\\d+,", "{")))
                .containsExactly(
                        "{\"event\":\"evacuation.changed\",\"instance\":\"g\",\"failure_domain\":\"b\",\"change\":\"ORDERED\","
                                + "\"offset\":7,\"upstreams\":1,\"own\":1,\"evacuated\":\"b\"}",
                        "{\"event\":\"evacuation.changed\",\"instance\":\"g\",\"failure_domain\":\"b\",\"change\":\"STALE\","
                                + "\"offset\":6,\"upstreams\":1,\"own\":1,\"evacuated\":\"b\"}",
                        "{\"event\":\"evacuation.changed\",\"instance\":\"g\",\"failure_domain\":\"b\",\"change\":\"WITHDRAWN\","
                                + "\"offset\":9,\"upstreams\":1,\"own\":1,\"evacuated\":\"\"}")
                .inOrder();
    }

    private void startGateway() {
        state = gatewayState();
        new ControlLogFollower(
                        state,
                        streams,
                        new TextControlCodec(),
                        scheduler,
                        RandomSource.XO_RO_SHI_RO_128_PP.create(1L),
                        new DecisionLog("g", () -> 0, lines::add),
                        new ControlLogFollower.ChangeListener() {
                            @Override
                            public void upstreamListed(Upstream upstream) {}

                            @Override
                            public void upstreamClosed(URI origin) {
                                closed.add(origin);
                            }

                            @Override
                            public void rolloutRecord(OperatorRecord operatorRecord, long offset) {}

                            @Override
                            public void orderHistoryReplaced() {}

                            @Override
                            public void ordersListed() {}

                            @Override
                            public void ordersSettled() {}

                            @Override
                            public void logAvailable() {}
                        })
                .start();
        assertThat(state.registry().all()).hasSize(3);
    }

    private static GatewayState gatewayState() {
        return new GatewayState(RolloutDeployment.BOUNDS, RandomSource.XO_RO_SHI_RO_128_PP.create(1L));
    }

    private void order(String domain) {
        streams.log(LogStream.OPERATOR).put(domain, "{}");
    }

    private void withdraw(String domain) {
        streams.log(LogStream.OPERATOR).put(domain, "");
    }

    private List<String> members() {
        return state.registry().members(SERVICE).stream()
                .map(member -> member.upstream().id())
                .sorted()
                .toList();
    }
}
