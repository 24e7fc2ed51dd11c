package org.masticpaddle.gateway;

import java.net.URI;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.masticpaddle.control.LogPosition;
import org.masticpaddle.control.SharedLog;
import org.masticpaddle.decisions.DecisionLog;
import org.masticpaddle.fleet.InFlightRequest;
import org.masticpaddle.fleet.SelfReport;
import org.masticpaddle.fleet.SelfReports;
import org.masticpaddle.fleet.Upstream;
import org.masticpaddle.fleet.UpstreamState;
import org.masticpaddle.kernel.FakeScheduler;
import org.masticpaddle.routes.RequestLimits;
import org.masticpaddle.routes.RoutingTable;
import org.masticpaddle.routes.ServicePolicy;

/**
 * Gateways and engines in virtual time, some of which state a limit of their requests with each answer or turn cold. Requests
 * arrive at random; some gateways get several times as many as others. Not thread-safe.
 */
final class LimitedDeployment {
    private static final String SERVICE = "s";
    private static final long TICK_MILLIS = 20;
    private static final long GATEWAY_TICK_MILLIS = 100;
    private static final long MIN_PREFILL_MILLIS = 60;
    private static final long PREFILL_SPREAD_MILLIS = 200;
    private static final long MIN_ANSWER_MILLIS = 200;
    private static final long ANSWER_SPREAD_MILLIS = 1_600;
    private static final long RECHECK_MILLIS = 40;
    private static final long MAX_WAIT_MILLIS = 2_500;
    /** Time after the first answer with a limit from which a gateway counts. */
    private static final long TOLD_MILLIS = 500;

    private static final long WINDOW_MILLIS = 4_000;

    private final FakeScheduler scheduler = new FakeScheduler();
    private final UniformRandomProvider random;
    private final List<Gateway> gateways = new ArrayList<>();
    private final List<Engine> engines = new ArrayList<>();
    private final RoutingTable table;
    private int sent;
    private int rejected;

    LimitedDeployment(int gatewayCount, int engineCount, long seed) {
        this(gatewayCount, engineCount, seed, 0, 0);
    }

    LimitedDeployment(int gatewayCount, int engineCount, long seed, double coldSeconds, double coldRequestsPerSecond) {
        table = RoutingTable.of(
                1,
                List.of(),
                Map.of(),
                List.of(new ServicePolicy(SERVICE, 64, 0, 1, Map.of(), coldSeconds, coldRequestsPerSecond)),
                RequestLimits.DEFAULT,
                false);
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        for (int index = 0; index < engineCount; index++) {
            engines.add(new Engine(index));
        }
        for (int index = 0; index < gatewayCount; index++) {
            gateways.add(new Gateway(1 + index % 3));
        }
    }

    /** Makes the first engines state a limit, or none. */
    void limit(int engineCount, OptionalDouble requestsPerSecond) {
        engines.subList(0, engineCount).forEach(engine -> engine.limit = requestsPerSecond);
    }

    /** Replaces a gateway by one that knows nothing. */
    void restartGateway(int index) {
        gateways.set(index, new Gateway(gateways.get(index).weight));
    }

    /** Adds gateways that know nothing. */
    void startGateways(int count) {
        for (int index = 0; index < count; index++) {
            gateways.add(new Gateway(1 + index % 3));
        }
    }

    /** Ends gateways; their requests end without an answer to them. */
    void killGateways(int count) {
        gateways.subList(0, count).clear();
    }

    /** Makes engines cold, as their entries in the list say. */
    void turnCold(int fromEngine, int toEngine, long millis) {
        engines.subList(fromEngine, toEngine).forEach(engine -> {
            engine.coldUntilMillis = millis() + millis;
            gateways.forEach(gateway -> gateway.list(engine));
        });
    }

    /** Replaces engines by new incarnations, which do not say that they are cold. */
    void restartEngines(int fromEngine, int toEngine) {
        engines.subList(fromEngine, toEngine).forEach(engine -> {
            engine.startMillis++;
            engine.running = 0;
            gateways.forEach(gateway -> gateway.list(engine));
        });
    }

    /** Returns the most requests that an engine got in any second from a time on. */
    long maxArrivalsInSecond(int engine, long fromMillis) {
        final List<Long> times = engines.get(engine).arrivals.stream()
                .map(arrival -> arrival.millis)
                .filter(millis -> millis >= fromMillis)
                .toList();
        int max = 0;
        int first = 0;
        for (int last = 0; last < times.size(); last++) {
            while (times.get(last) - times.get(first) >= 1_000) {
                first++;
            }
            max = Math.max(max, last - first + 1);
        }
        return max;
    }

    int sent() {
        return sent;
    }

    int rejected() {
        return rejected;
    }

    void resetCounts() {
        sent = 0;
        rejected = 0;
    }

    long millis() {
        return scheduler.nanos() / 1_000_000L;
    }

    /** Returns the number of requests that an engine got between two times. */
    long arrivals(int engine, long fromMillis, long toMillis) {
        return engines.get(engine).arrivals.stream()
                .filter(arrival -> arrival.millis >= fromMillis && arrival.millis < toMillis)
                .count();
    }

    /** Returns the most requests in a window that an engine got from gateways that knew its limit, from a time on. */
    long maxKnownArrivals(int engine, long fromMillis) {
        final List<Long> known = engines.get(engine).arrivals.stream()
                .filter(arrival -> arrival.millis >= fromMillis && arrival.millis >= arrival.toldMillis + TOLD_MILLIS)
                .map(arrival -> arrival.millis)
                .toList();
        return known.stream()
                .mapToLong(first -> known.stream()
                        .filter(millis -> millis >= first && millis < first + WINDOW_MILLIS)
                        .count())
                .max()
                .orElse(0);
    }

    /** Returns the sum of the shares that the gateways know. */
    double sumOfShares() {
        return gateways.stream()
                .mapToDouble(gateway -> gateway.state
                        .limits()
                        .observedShare(SERVICE, scheduler.nanos())
                        .orElse(0))
                .sum();
    }

    /** Sends requests at a mean rate over all gateways. */
    void run(long durationMillis, double requestsPerSecond) {
        final long end = millis() + durationMillis;
        while (millis() < end) {
            double due = requestsPerSecond * TICK_MILLIS / 1_000;
            while (random.nextDouble() < Math.min(1, due)) {
                sent++;
                new Request(chooseGateway()).tryStart();
                due -= 1;
            }
            scheduler.advance(TICK_MILLIS);
            if (millis() % GATEWAY_TICK_MILLIS == 0) {
                gateways.forEach(gateway -> {
                    gateway.state.limits().tick(scheduler.nanos());
                    gateway.coldUpstreams.tick(scheduler.nanos());
                });
            }
        }
    }

    private Gateway chooseGateway() {
        int remaining = random.nextInt(
                gateways.stream().mapToInt(gateway -> gateway.weight).sum());
        for (final Gateway gateway : gateways) {
            remaining -= gateway.weight;
            if (remaining < 0) {
                return gateway;
            }
        }
        throw new IllegalStateException("no gateway");
    }

    /** One gateway. Not thread-safe. */
    private final class Gateway {
        private final int weight;
        private final GatewayState state = new GatewayState(RolloutDeployment.BOUNDS, random);
        private final ColdUpstreams coldUpstreams = new ColdUpstreams(
                state, random, new DecisionLog("gateway", () -> 0, text -> {}), new GatewayCounters());
        private final long[] toldMillis = new long[engines.size()];

        Gateway(int weight) {
            this.weight = weight;
            state.applyTable(table, new LogPosition(SharedLog.NO_ERA, 0));
            engines.forEach(this::list);
            state.markUpstreamsListed();
            Arrays.fill(toldMillis, Long.MAX_VALUE / 2);
        }

        /** Reads the entry of an engine. */
        void list(Engine engine) {
            state.registry().applyEntry(engine.upstream(), scheduler.nanos());
            coldUpstreams.update(engine.id, scheduler.nanos());
        }

        UpstreamState member(Engine engine) {
            return state.registry().find(engine.id).orElseThrow();
        }
    }

    /** One engine. Not thread-safe. */
    private final class Engine {
        private final int index;
        private final String id;
        private final List<Arrival> arrivals = new ArrayList<>();
        private OptionalDouble limit = OptionalDouble.empty();
        private int running;
        private long startMillis = 1;
        private long coldUntilMillis;

        Engine(int index) {
            this.index = index;
            id = "engine-" + index;
        }

        Upstream upstream() {
            return new Upstream(
                    id,
                    SERVICE,
                    URI.create("http://127.0.0.1:" + (index + 1)),
                    "d",
                    "v1",
                    64,
                    false,
                    startMillis,
                    Math.max(0, coldUntilMillis - millis()));
        }
    }

    private record Arrival(long millis, long toldMillis) {}

    /** One request. Not thread-safe. */
    private final class Request {
        private final Gateway gateway;
        private final long startMillis = millis();
        private final UpstreamWait wait;

        Request(Gateway gateway) {
            this.gateway = gateway;
            wait = new UpstreamWait(gateway.state, scheduler, SERVICE, 1);
        }

        void tryStart() {
            final Optional<Engine> choice = choose();
            if (choice.isPresent() && wait.isTurn(gateway.member(choice.get()))) {
                wait.end();
                send(choice.get());
            } else if (wait.expectedMillis() > MAX_WAIT_MILLIS - (millis() - startMillis)) {
                wait.end();
                rejected++;
            } else {
                wait.begin();
                scheduler.schedule(RECHECK_MILLIS, this::tryStart);
            }
        }

        /** Chooses the engine with the fewest requests of those that may get one. */
        private Optional<Engine> choose() {
            final long now = scheduler.nanos();
            Engine best = null;
            int fewest = Integer.MAX_VALUE;
            for (final Engine engine : engines) {
                final UpstreamState member = gateway.member(engine);
                final int load = member.inFlight() + member.loadReport().inFlightOfOtherGateways(now);
                if (member.allowsRequest(now) && load < fewest) {
                    best = engine;
                    fewest = load;
                }
            }
            return Optional.ofNullable(best);
        }

        private void send(Engine engine) {
            final UpstreamState member = gateway.member(engine);
            final InFlightRequest inFlight = member.assign("m", List.of(), 0, 0, 0, scheduler.nanos());
            engine.arrivals.add(new Arrival(millis(), gateway.toldMillis[engine.index]));
            engine.running++;
            scheduler.schedule(
                    MIN_PREFILL_MILLIS + random.nextLong(PREFILL_SPREAD_MILLIS),
                    () -> answer(engine, member, inFlight));
        }

        private void answer(Engine engine, UpstreamState member, InFlightRequest inFlight) {
            final long now = scheduler.nanos();
            final SelfReport report = SelfReports.load(engine.running, 0, 64, engine.limit);
            if (!member.onReport(report, true, false, now).isEmpty()) {
                gateway.state.limits().pace(member, now);
                gateway.toldMillis[engine.index] = engine.limit.isPresent() ? millis() : Long.MAX_VALUE / 2;
            }
            scheduler.schedule(MIN_ANSWER_MILLIS + random.nextLong(ANSWER_SPREAD_MILLIS), () -> {
                engine.running--;
                member.release(inFlight);
            });
        }
    }
}
