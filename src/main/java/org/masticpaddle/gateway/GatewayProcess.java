package org.masticpaddle.gateway;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Stream;

import io.undertow.server.handlers.HttpContinueReadHandler;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.masticpaddle.control.CountedSharedLog;
import org.masticpaddle.control.OperatorRecord;
import org.masticpaddle.decisions.Decision;
import org.masticpaddle.decisions.DecisionLog;
import org.masticpaddle.fleet.Upstream;
import org.masticpaddle.kernel.Kernel;
import org.masticpaddle.kernel.PeriodicTasks;
import org.masticpaddle.kernel.Service;
import org.masticpaddle.kernel.ShutdownClock;
import org.masticpaddle.memory.MemoryBudget;
import org.masticpaddle.memory.RequestMemory;
import org.masticpaddle.metrics.Gauge;
import org.masticpaddle.metrics.LagHistogram;
import org.masticpaddle.routing.EscalationPolicy;
import org.masticpaddle.routing.ModelCascade;
import org.masticpaddle.routing.UpstreamPlacement;
import org.masticpaddle.routing.UpstreamSpeeds;
import org.masticpaddle.settings.ProcessSettings;
import org.masticpaddle.settings.Setting;
import org.masticpaddle.wire.ConnectionTimeouts;
import org.masticpaddle.wire.EventLoop;
import org.masticpaddle.wire.Hashing;
import org.masticpaddle.wire.HttpClient;
import org.masticpaddle.wire.HttpServer;
import org.masticpaddle.wire.OperationsHandler;

/**
 * A gateway process: creates the components of a gateway around one event loop, starts and stops them.
 *
 * <p>{@link #start()} and {@link #stop()} are called once each, by one thread.
 */
public final class GatewayProcess implements Service {
    /** Timeout of connecting to an upstream or the log; covers several round trips within a region. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);
    /** Idle time after which a connection is not reused. The shortest keep-alive timeout that upstreams announce is 1 s. */
    private static final Duration MAX_IDLE_TIME = Duration.ofMillis(900);
    /** Interval of the periodic work: expiry, rollouts, idle connections and health probes. */
    private static final long TICK_INTERVAL_MILLIS = 100;
    /** Time without a byte from an upstream with requests in flight after which the upstream is probed. */
    private static final long UNRESPONSIVE_NANOS = 600_000_000L;

    /**
     * Part of the heap for answers that are not complete. An answer takes up to three times its size, while its buffer grows and
     * while it is copied.
     */
    private static final double ANSWER_MEMORY_SHARE = 0.125;

    /** Part of the heap for the bodies of requests. */
    private static final double BODY_MEMORY_SHARE = 0.5;

    /**
     * Time for which connections of callers wait for the first answers of the log before they are accepted. Callers with a time
     * limit of a second try another gateway if their request is not read within a third of it.
     */
    private static final Duration MAX_ACCEPT_DELAY = Duration.ofMillis(300);

    /** Interval between checks whether the first answers of the log have arrived. */
    private static final long ACCEPT_POLL_INTERVAL_MILLIS = 5;

    /** Interval between checks whether requests are in flight during the shutdown. */
    private static final long DRAIN_POLL_INTERVAL_MILLIS = 20;

    private final Kernel kernel = new Kernel();
    private final EventLoop loop = new EventLoop("gateway");
    private final GatewayState state;
    private final GatewayHandler handler;
    private final RequestBodies bodies;
    private final ControlLogFollower logFollower;
    private final RolloutCoordinator rollouts;
    private final QuarantineCoordinator quarantine;
    private final DecisionLog log;
    private final ShutdownClock shutdownClock;
    private final HttpClient client;
    private final GatewayCounters counters = new GatewayCounters();
    private final LagHistogram loopLag =
            new LagHistogram("gateway.loop_lag", TimeUnit.MILLISECONDS.toNanos(TICK_INTERVAL_MILLIS));
    private final CountedSharedLog sharedLog;
    private final UpstreamHealthProbe healthProbe;
    private final ColdUpstreams coldUpstreams;
    private final UpstreamPace pace;
    private volatile GatewayBounds bounds;
    private final HttpServer server;
    private final PeriodicTasks periodicTasks;
    private volatile boolean draining;

    /**
     * Creates a gateway that is not started.
     *
     * @param settings validated settings of the gateway role
     * @param ports binding to the platform
     * @param log decision log, started and stopped with the gateway
     * @param metrics renders the metrics of the process for a scrape
     * @param shutdownClock clock and waits of {@link #stop()}
     */
    public GatewayProcess(
            ProcessSettings settings,
            GatewayPorts ports,
            DecisionLog log,
            Supplier<String> metrics,
            ShutdownClock shutdownClock) {
        this.log = Objects.requireNonNull(log, "log is null");
        this.shutdownClock = Objects.requireNonNull(shutdownClock, "shutdownClock is null");
        bounds = GatewayBounds.of(settings);
        final UniformRandomProvider random = random(settings.text(Setting.INSTANCE));
        state = new GatewayState(bounds, random);
        client = new HttpClient(loop, new ConnectionTimeouts(CONNECT_TIMEOUT, MAX_IDLE_TIME));
        sharedLog = new CountedSharedLog(ports.log(
                client,
                settings.origin(Setting.LOG).orElseThrow(),
                succeeded -> counters.add(
                        succeeded ? GatewayCounters.Counter.STORE_CALLS : GatewayCounters.Counter.STORE_FAILURES)));
        rollouts = new RolloutCoordinator(
                settings.text(Setting.INSTANCE) + "/" + System.currentTimeMillis(),
                sharedLog,
                ports.recordCodec(),
                state,
                loop,
                random,
                log);
        quarantine = new QuarantineCoordinator(
                settings.text(Setting.INSTANCE),
                sharedLog,
                client::checkReachable,
                loop,
                random,
                System::currentTimeMillis,
                log);
        coldUpstreams = new ColdUpstreams(state, random, log, counters);
        pace = new UpstreamPace(state);
        healthProbe = new UpstreamHealthProbe(client::checkReachable, client::closeIdle, loop, log, UNRESPONSIVE_NANOS);
        final GatewayContext context = new GatewayContext(
                loop,
                client,
                healthProbe,
                ports.headerCodec(),
                state,
                rollouts,
                quarantine,
                new UpstreamPlacement(
                        settings.text(Setting.FAILURE_DOMAIN),
                        UpstreamSpeeds.valueOf(
                                settings.text(Setting.UPSTREAM_SPEEDS).toUpperCase(Locale.ROOT))),
                new ModelCascade(
                        settings.number(Setting.MIN_DRAFT_CONFIDENCE_PERCENT),
                        EscalationPolicy.valueOf(
                                settings.text(Setting.ESCALATION).toUpperCase(Locale.ROOT))),
                UrgencyOrder.valueOf(settings.text(Setting.URGENCY).toUpperCase(Locale.ROOT)),
                MemoryBudget.ofHeap(ANSWER_MEMORY_SHARE),
                log,
                counters,
                random);
        bodies = new RequestBodies(
                RequestMemory.ofHeap(BODY_MEMORY_SHARE),
                context.answerMemory(),
                loop,
                settings.number(Setting.MAX_BODY_BYTES));
        handler = new GatewayHandler(context, bodies, this::started);
        logFollower = new ControlLogFollower(
                state, sharedLog, ports.recordCodec(), loop, random, log, new ControlLogFollower.ChangeListener() {
                    @Override
                    public void upstreamListed(Upstream upstream) {
                        coldUpstreams.update(upstream.id(), loop.nanos());
                        pace.update(upstream.id(), loop.nanos());
                    }

                    @Override
                    public void upstreamClosed(URI origin) {
                        client.closeIdle(origin);
                    }

                    @Override
                    public void rolloutRecord(OperatorRecord order, long offset) {
                        rollouts.onOperatorRecord(order, offset);
                    }

                    @Override
                    public void orderHistoryReplaced() {
                        rollouts.onHistoryReplaced();
                    }

                    @Override
                    public void ordersListed() {
                        rollouts.onOrdersListed();
                    }

                    @Override
                    public void ordersSettled() {
                        rollouts.onOrdersSettled();
                    }

                    @Override
                    public void logAvailable() {
                        rollouts.onLogAvailable();
                        quarantine.onLogAvailable();
                    }
                });
        periodicTasks = periodicTasks();
        final URI callerOrigin = settings.origin(Setting.CALLER_ORIGIN).orElseThrow();
        final URI operationsOrigin = settings.origin(Setting.OPERATIONS_ORIGIN).orElseThrow();
        server = new HttpServer(
                callerOrigin.getHost(),
                callerOrigin.getPort(),
                loop,
                settings.number(Setting.MAX_BODY_BYTES),
                new HttpContinueReadHandler(handler));
        server.acceptLater();
        kernel.register("decisions", log)
                .register("loop", loop)
                .register("client", client)
                .register("front", server)
                .register(
                        "operations",
                        new HttpServer(
                                operationsOrigin.getHost(),
                                operationsOrigin.getPort(),
                                loop,
                                settings.number(Setting.MAX_BODY_BYTES),
                                new OperationsHandler(this::ready, metrics, () -> "gateway")));
    }

    /** Seeds from clocks and the instance name, since the system's entropy source would load its security providers at the start. */
    private static UniformRandomProvider random(String instance) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(
                new long[] {Hashing.hash64(instance) ^ System.currentTimeMillis(), System.nanoTime()});
    }

    @Override
    public void start() {
        kernel.start();
        loop.execute(() -> {
            logFollower.start();
            quarantine.start();
            periodicTasks.start();
            acceptWhenStarted(loop.nanos());
        });
        log.write(Decision.STARTED, "role", "gateway", "port", server.port());
    }

    /** Returns whether all that a gateway reads before its first decision was read from the log. */
    private boolean started() {
        return state.started() && rollouts.progressKnown() && quarantine.caughtUp();
    }

    /**
     * Accepts connections once the first answers of the log have arrived, or after a short time without them. Otherwise the
     * requests of a burst would be read first, although none of them can be forwarded before these answers.
     */
    private void acceptWhenStarted(long startNanos) {
        if (started() || loop.nanos() - startNanos >= MAX_ACCEPT_DELAY.toNanos()) {
            server.accept();
        } else {
            loop.schedule(ACCEPT_POLL_INTERVAL_MILLIS, () -> acceptWhenStarted(startNanos));
        }
    }

    /**
     * Drains and stops: reports not ready, accepts requests until the load balancer has removed the gateway, rejects further
     * ones and waits for those in flight. Requests that are still in flight near the end of the grace period are ended: with an
     * error response or, if a stream has begun, with the end of its connection.
     */
    @Override
    public void stop() {
        new GatewayShutdown(bounds.grace(), shutdownClock, new ShutdownSteps()).run();
    }

    /** Completes the future once no request is in flight; runs on the event loop. */
    private void pollIdle(CompletableFuture<Void> idle) {
        if (handler.activeRequests() == 0) {
            idle.complete(null);
        } else if (!idle.isDone()) {
            loop.schedule(DRAIN_POLL_INTERVAL_MILLIS, () -> pollIdle(idle));
        }
    }

    /**
     * Applies the limits of settings that were read again. Changed addresses and identities take effect at the next start.
     *
     * @param settings validated settings of the gateway role
     */
    public void reload(ProcessSettings settings) {
        final GatewayBounds newBounds = GatewayBounds.of(settings);
        log.write(Decision.RELOADED, "changed", !newBounds.equals(bounds), "bounds", newBounds);
        bounds = newBounds;
        loop.execute(() -> state.updateBounds(newBounds));
    }

    /**
     * Returns the port that callers connect to.
     *
     * @return the bound port, also if the operating system chose it
     */
    public int port() {
        return server.port();
    }

    /**
     * Lists the counters of requests and of calls to the shared log by stream and kind, the requests in flight and the lag of the
     * event loop.
     *
     * @return gauges that read live counters, which start at zero when the gateway is created
     */
    public List<Gauge> gauges() {
        final Gauge inFlight = Gauge.of(
                "gateway.requests_in_flight", "requests whose answers are not complete", handler::requestsInFlight);
        final LogGauges logGauges = new LogGauges(
                state, () -> Stream.concat(logFollower.health(), Stream.of(quarantine.health())), loop::nanos);
        return Stream.of(
                        counters.gauges(),
                        List.of(sharedLog.gauge(), inFlight),
                        logGauges.gauges(),
                        bodies.gauges(),
                        loopLag.gauges())
                .flatMap(List::stream)
                .toList();
    }

    /**
     * Returns the number of unexpected errors of components.
     *
     * @return number since the start
     */
    public long unexpectedErrors() {
        return log.errorCount();
    }

    private boolean ready() {
        return !draining && state.ready(loop.nanos());
    }

    private PeriodicTasks periodicTasks() {
        return new PeriodicTasks(loop, TICK_INTERVAL_MILLIS, log::writeError)
                .add("loop lag", () -> loopLag.tick(loop.nanos()))
                .add("expired upstreams", logFollower::removeExpiredUpstreams)
                .add(
                        "log cadence",
                        () -> logFollower.updateTiming(quarantine.awaitsSuccessors(
                                service -> state.registry().members(service).size(), loop.nanos())))
                .add("rollouts", rollouts::tick)
                .add("quarantine", quarantine::tick)
                .add("stated limits", () -> state.limits().tick(loop.nanos()))
                .add("cold upstreams", () -> coldUpstreams.tick(loop.nanos()))
                .add("pace", () -> pace.tick(loop.nanos()))
                .add("idle connections", client::closeExpired)
                .add("health probe", () -> state.registry().all().forEach(healthProbe::probeIfUnresponsive));
    }

    /** Steps of the stop, each of which queues a task of the event loop. */
    private final class ShutdownSteps implements GatewayShutdown.Steps {
        @Override
        public void drain() {
            draining = true;
            log.write(Decision.DRAINING, "grace_ms", bounds.grace().toMillis());
            loop.execute(handler::drain);
        }

        @Override
        public void rejectNew() {
            loop.execute(handler::rejectAll);
        }

        /** Lets the loop read the answers that have arrived, which it would do after the task otherwise. */
        @Override
        public void endUnanswered() {
            loop.executeAfterReads(handler::endAll);
        }

        @Override
        public void endAll() {
            loop.execute(handler::endAll);
        }

        @Override
        public CompletableFuture<Void> idle() {
            final CompletableFuture<Void> idle = new CompletableFuture<>();
            loop.defer(() -> pollIdle(idle));
            return idle;
        }

        @Override
        public void close(Duration elapsed, Duration limit) {
            loop.execute(periodicTasks::stop);
            log.write(Decision.STOPPED, "ms", elapsed.toNanos() / 1e6, "store_calls", sharedLog.summary());
            log.limitStop(limit);
            kernel.stop();
        }
    }
}
