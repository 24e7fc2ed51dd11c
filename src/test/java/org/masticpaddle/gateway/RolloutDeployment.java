package org.masticpaddle.gateway;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;

import org.apache.commons.rng.simple.RandomSource;
import org.masticpaddle.control.OperatorRecord;
import org.masticpaddle.decisions.DecisionLog;
import org.masticpaddle.fleet.Upstream;
import org.masticpaddle.fleet.UpstreamRegistry;
import org.masticpaddle.kernel.FakeScheduler;

/** Several coordinators that share a log and a simulated clock, with one upstream of each version. Not thread-safe. */
final class RolloutDeployment {
    static final Upstream OLD = upstream("old", "v1");
    static final Upstream NEW = upstream("new", "v2");
    static final GatewayBounds BOUNDS = new GatewayBounds(
            Duration.ofSeconds(5),
            Duration.ofSeconds(2),
            Duration.ofSeconds(3),
            Duration.ofSeconds(8),
            0.9,
            54,
            Duration.ofSeconds(10),
            0.15,
            30,
            Duration.ofSeconds(5),
            Duration.ofSeconds(5),
            1.5,
            5,
            true);
    static final Duration TIME_LIMIT = Duration.ofSeconds(16);

    private static final long ORDER_OFFSET = 3;
    private static final long TICK_MILLIS = 100;

    private final FakeScheduler scheduler = new FakeScheduler();
    private final FakeStreams sharedLog = new FakeStreams(scheduler);
    private final List<RolloutCoordinator> gateways = new ArrayList<>();
    private final List<UpstreamRegistry> registries = new ArrayList<>();

    RolloutDeployment(int gatewayCount) {
        for (int index = 0; index < gatewayCount; index++) {
            addGateway();
        }
    }

    /** Starts a gateway that knows the upstream of the old version. */
    void addGateway() {
        final String name = "gateway-" + gateways.size();
        final GatewayState state = new GatewayState(BOUNDS, RandomSource.XO_RO_SHI_RO_128_PP.create(1L));
        state.registry().applyEntry(OLD, scheduler.nanos());
        registries.add(state.registry());
        gateways.add(new RolloutCoordinator(
                name,
                sharedLog,
                new TextControlCodec(),
                state,
                scheduler,
                RandomSource.XO_RO_SHI_RO_128_PP.create(name.hashCode()),
                new DecisionLog(name, () -> 0, text -> {})));
        gateways.get(gateways.size() - 1).tick();
    }

    List<RolloutCoordinator> gateways() {
        return Collections.unmodifiableList(gateways);
    }

    FakeStreams sharedLog() {
        return sharedLog;
    }

    long millis() {
        return scheduler.nanos() / 1_000_000L;
    }

    /** Makes the upstream of the new version known to all gateways. */
    void addNewVersion() {
        registries.forEach(registry -> registry.applyEntry(NEW, scheduler.nanos()));
    }

    /** Makes another upstream of the new version known to all gateways. */
    Upstream addNewUpstream(String id) {
        return addNewUpstream(id, NEW.failureDomain());
    }

    /** Makes another upstream of the new version in a failure domain known to all gateways. */
    Upstream addNewUpstream(String id, String failureDomain) {
        final Upstream upstream =
                new Upstream(id, "s", URI.create("http://127.0.0.1:1"), failureDomain, NEW.version(), 8, false, 1, 0);
        registries.forEach(registry -> registry.applyEntry(upstream, scheduler.nanos()));
        return upstream;
    }

    /** Evacuates a failure domain at all gateways. */
    void evacuate(String failureDomain, long offset) {
        registries.forEach(registry -> registry.evacuate(failureDomain, offset));
    }

    /** Gives the order for the new version to one gateway. */
    void order(int gatewayIndex) {
        gateways.get(gatewayIndex)
                .onOperatorRecord(new OperatorRecord.RolloutOrder("s", "v2", TIME_LIMIT), ORDER_OFFSET);
    }

    /** Gives the order to all gateways. */
    void orderEverywhere() {
        addNewVersion();
        for (int index = 0; index < gateways.size(); index++) {
            order(index);
        }
    }

    /** Lets simulated time pass; every gateway ticks. */
    void advance(long millis) {
        for (long passed = 0; passed < millis; passed += TICK_MILLIS) {
            scheduler.advance(TICK_MILLIS);
            gateways.forEach(RolloutCoordinator::tick);
        }
    }

    /** Returns the upstream that a gateway prefers for a session. */
    Upstream choose(int gatewayIndex, String session) {
        final VersionRouter.EligibleUpstreams eligible =
                gateways.get(gatewayIndex).eligibleUpstreams("s", Optional.of(session), "request of " + session);
        return eligible.preferred().test(NEW) && !eligible.preferred().test(OLD) ? NEW : OLD;
    }

    /** Sends a request of a session. */
    AttemptObserver send(int gatewayIndex, String session, Upstream upstream) {
        return gateways.get(gatewayIndex)
                .attemptSent(new VersionRouter.SentAttempt(
                        "request of " + session, Optional.of(session), upstream, "r", 100, 20));
    }

    private static Upstream upstream(String id, String version) {
        return new Upstream(id, "s", URI.create("http://127.0.0.1:1"), "d", version, 8, false, 1, 0);
    }
}
