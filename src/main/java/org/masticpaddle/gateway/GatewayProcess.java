package org.masticpaddle.gateway;

import java.net.URI;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.undertow.server.handlers.HttpContinueReadHandler;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.masticpaddle.control.OperatorRecord;
import org.masticpaddle.control.SharedLog;
import org.masticpaddle.decisions.Decision;
import org.masticpaddle.decisions.DecisionLog;
import org.masticpaddle.kernel.Kernel;
import org.masticpaddle.kernel.ShutdownDelay;
import org.masticpaddle.kernel.Service;
import org.masticpaddle.routing.ModelCascade;
import org.masticpaddle.routing.UpstreamPlacement;
import org.masticpaddle.settings.ProcessSettings;
import org.masticpaddle.settings.Setting;
import org.masticpaddle.wire.ConnectionTimeouts;
import org.masticpaddle.wire.EventLoop;
import org.masticpaddle.wire.Hashing;
import org.masticpaddle.wire.HttpClient;
import org.masticpaddle.wire.HttpServer;
import org.masticpaddle.wire.OperationsHandler;

/**
 * All parts of a gateway, wired together around one event loop. Start and stop are called by one thread, once each.
 */
public final class GatewayProcess implements Service {
    /** Time to connect to an upstream or the log: several round trips within a region. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);
    /** Idle time after which a connection is not used again; the shortest idle timeout that upstreams state is 1 s. */
    private static final Duration MAX_IDLE = Duration.ofMillis(900);
    /** Pause of the periodic work. */
    private static final long TICK_MILLIS = 100;
    /** Silence of an upstream with work after which its reachability is tested. */
    private static final long SILENT_NANOS = 600_000_000L;
    /** Part of the grace after which new requests are refused, so that those in work can end. */
    private static final double REFUSE_AT = 0.37;
    /** Part of the grace after which the process ends whatever is in work. */
    private static final double END_AT = 0.95;
    /** Time for which a leaving process takes requests at least: the balancer asks once a second, twice. */
    private static final Duration LINGER = Duration.ofMillis(2_800);

    private static final long POLL_MILLIS = 20;

    private final Kernel kernel = new Kernel();
    private final EventLoop loop = new EventLoop("gateway");
    private final GatewayState state;
    private final GatewayHandler handler;
    private final ControlLogFollower control;
    private final RolloutCoordinator rollouts;
    private final DecisionLog log;
    private final HttpClient client;
    private final GatewayCounters counters = new GatewayCounters();
    private final UpstreamHealthProbe silence;
    private volatile GatewayBounds bounds;
    private final HttpServer server;
    private volatile boolean draining;

    /**
     * Wires a gateway.
     *
     * @param settings checked settings of role gateway
     * @param ports binding to the platform
     * @param log log of decisions, started and stopped with the gateway
     * @param metrics scrape page of the process
     */
    public GatewayProcess(ProcessSettings settings, GatewayPorts ports, DecisionLog log, Supplier<String> metrics) {
        this.log = Objects.requireNonNull(log, "log is null");
        bounds = GatewayBounds.of(settings);
        state = new GatewayState(bounds);
        client = new HttpClient(loop, new ConnectionTimeouts(CONNECT_TIMEOUT, MAX_IDLE));
        final UniformRandomProvider random = random(settings.text(Setting.INSTANCE));
        final SharedLog shared = ports.log(
                client,
                settings.origin(Setting.LOG).orElseThrow(),
                answered -> counters.add(
                        answered ? GatewayCounters.Counter.STORE_CALLS : GatewayCounters.Counter.STORE_FAILURES));
        rollouts = new RolloutCoordinator(
                settings.text(Setting.INSTANCE) + "/" + System.currentTimeMillis(),
                shared,
                ports.recordCodec(),
                state.roster(),
                loop,
                random,
                log);
        silence = new UpstreamHealthProbe(client, loop, log, SILENT_NANOS);
        final GatewayContext context = new GatewayContext(
                loop,
                client,
                silence,
                ports.headerCodec(),
                state,
                rollouts,
                new UpstreamPlacement(settings.text(Setting.FAILURE_DOMAIN)),
                new ModelCascade(settings.number(Setting.MIN_DRAFT_CONFIDENCE_PERCENT)),
                log,
                counters,
                random);
        handler = new GatewayHandler(context);
        control = new ControlLogFollower(state, shared, ports.recordCodec(), loop, random, log, new ControlLogFollower.ChangeListener() {
            @Override
            public void gone(URI origin) {
                client.closeIdle(origin);
            }

            @Override
            public void ordered(OperatorRecord order, long offset) {
                rollouts.ordered(order, offset);
            }
        });
        final URI front = settings.origin(Setting.CALLER_ORIGIN).orElseThrow();
        final URI operations = settings.origin(Setting.OPERATIONS_ORIGIN).orElseThrow();
        server = new HttpServer(
                front.getHost(),
                front.getPort(),
                loop,
                settings.number(Setting.MAX_BODY_BYTES),
                new HttpContinueReadHandler(handler));
        kernel.register("decisions", log)
                .register("loop", loop)
                .register("client", client)
                .register("front", server)
                .register(
                        "operations",
                        new HttpServer(
                                operations.getHost(),
                                operations.getPort(),
                                loop,
                                settings.number(Setting.MAX_BODY_BYTES),
                                new OperationsHandler(this::ready, metrics, () -> "gateway")));
    }

    /** Seeds from the clocks and the instance: a seed from the system's entropy would load its security providers. */
    private static UniformRandomProvider random(String instance) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(
                new long[] {Hashing.hash64(instance) ^ System.currentTimeMillis(), System.nanoTime()});
    }

    @Override
    public void start() {
        kernel.start();
        loop.execute(() -> {
            control.start();
            tick();
        });
        log.write(Decision.STARTED, "role", "gateway");
    }

    /** Finishes the requests that came before the callers could learn that the gateway leaves, and ends. */
    @Override
    public void stop() {
        final long begin = System.nanoTime();
        final long grace = bounds.grace().toNanos();
        draining = true;
        log.write(Decision.DRAINING, "grace_ms", bounds.grace().toMillis());
        loop.execute(handler::leave);
        await(begin + Math.min(LINGER.toNanos(), (long) (grace * REFUSE_AT)), false);
        loop.execute(handler::refuse);
        await(begin + (long) (grace * END_AT), true);
        log.write(Decision.STOPPED, "ms", (System.nanoTime() - begin) / 1e6);
        kernel.stop();
    }

    private void await(long until, boolean untilIdle) {
        while (System.nanoTime() < until && !(untilIdle && active() == 0)) {
            ShutdownDelay.sleepUntil(Math.min(until, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(POLL_MILLIS)));
        }
    }

    private long active() {
        final CountDownLatch done = new CountDownLatch(1);
        final long[] count = {0};
        loop.defer(() -> {
            count[0] = handler.active();
            done.countDown();
        });
        try {
            done.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return count[0];
    }

    /**
     * Takes the bounds of settings that were read again. Addresses and identities hold until the next start.
     *
     * @param settings checked settings of role gateway
     */
    public void reload(ProcessSettings settings) {
        final GatewayBounds newest = GatewayBounds.of(settings);
        log.write(Decision.RELOADED, "changed", !newest.equals(bounds), "bounds", newest);
        bounds = newest;
        loop.execute(() -> state.bounds(newest));
    }

    /**
     * Returns the port for callers.
     *
     * @return the port, also when the operating system chose it
     */
    public int port() {
        return server.port();
    }

    /**
     * Returns the counters.
     *
     * @return counts since the start
     */
    public GatewayCounters counters() {
        return counters;
    }

    private boolean ready() {
        return !draining && state.ready(loop.nanos());
    }

    private void tick() {
        control.expire();
        rollouts.tick();
        client.closeExpired();
        state.roster().all().forEach(silence::check);
        loop.schedule(TICK_MILLIS, this::tick);
    }
}
