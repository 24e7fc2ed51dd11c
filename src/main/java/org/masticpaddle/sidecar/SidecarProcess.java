package org.masticpaddle.sidecar;

import java.net.URI;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.apache.commons.rng.simple.RandomSource;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticpaddle.billing.ChargeSettings;
import org.masticpaddle.billing.ChargeWriter;
import org.masticpaddle.claim.AttemptTable;
import org.masticpaddle.document.ConfigurationService;
import org.masticpaddle.document.ConfigurationSettings;
import org.masticpaddle.document.EffectiveConfiguration;
import org.masticpaddle.document.HttpConfigurationPeer;
import org.masticpaddle.document.RoutingDocument;
import org.masticpaddle.kernel.Duty;
import org.masticpaddle.kernel.Kernel;
import org.masticpaddle.kernel.ShutdownDelay;
import org.masticpaddle.kernel.Service;
import org.masticpaddle.metrics.Gauge;
import org.masticpaddle.platform.HttpEngineControl;
import org.masticpaddle.platform.HttpEventLog;
import org.masticpaddle.platform.HttpWeightStore;
import org.masticpaddle.platform.WeightStore;
import org.masticpaddle.routing.SessionBindings;
import org.masticpaddle.settings.ProcessSettings;
import org.masticpaddle.settings.Setting;
import org.masticpaddle.wire.HttpClient;
import org.masticpaddle.wire.HttpServer;
import org.masticpaddle.wire.OperationsHandler;
import org.masticpaddle.wire.ProcessStatus;

/** All parts of a sidecar, wired together. Start and stop are called by one thread, once each. */
public final class SidecarProcess implements Service {
    private static final Logger LOGGER = LogManager.getLogger(SidecarProcess.class);
    private static final int RING_CAPACITY = 4_096;
    private static final int KEEPER_RING_CAPACITY = 64;
    private static final long TICK_MILLIS = 10;
    private static final long KEEPER_TICK_MILLIS = 50;
    private static final int MAX_ANSWER_BYTES = 64 * 1024;
    private static final long MAX_ANSWERS_BYTES = 32L << 20;
    private static final int MAX_SESSIONS = 65_536;

    private final ProcessSettings settings;
    private final long incarnation;
    private final Kernel kernel = new Kernel();
    private final HttpServer server;
    private final Duty<SidecarEvent> attempts;
    private final List<Gauge> gauges;

    /**
     * Wires a sidecar.
     *
     * @param settings checked settings of role sidecar
     * @param incarnation number of this start, above that of every earlier start in the slot
     * @param metrics scrape page of the process
     */
    public SidecarProcess(ProcessSettings settings, long incarnation, Supplier<String> metrics) {
        this.settings = Objects.requireNonNull(settings, "settings is null");
        this.incarnation = incarnation;
        final Clock clock = Clock.systemUTC();
        final Duration timeout = settings.millis(Setting.CALL_TIMEOUT_MS);
        final HttpClient client = new HttpClient(settings.number(Setting.IO_THREADS));
        final HttpEventLog log =
                new HttpEventLog(client, settings.origin(Setting.LOG).orElseThrow(), timeout);
        final boolean plain = "plain".equals(settings.text(Setting.KIND));
        final String service = settings.text(Setting.SERVICE);
        final LoadTracker load = new LoadTracker(incarnation, settings.number(Setting.SLOTS), plain);
        if (plain) {
            load.upstream(true, List.of("plain/" + service));
        }
        final EntryOrigins entries = new EntryOrigins(
                settings.list(Setting.ENTRIES).stream().map(URI::create).toList());
        final ConfigurationService configuration = ConfigurationService.fromPeers(
                ConfigurationSettings.of(
                        URI.create("http://" + settings.text(Setting.INSTANCE)),
                        settings.seconds(Setting.LOG_RETENTION_SECONDS)),
                new HttpConfigurationPeer(client, timeout),
                entries::all,
                clock::millis,
                RandomSource.XO_RO_SHI_RO_128_PP.create());
        final Supplier<RoutingDocument> document = () ->
                configuration.effective().map(EffectiveConfiguration::document).orElse(RoutingDocument.EMPTY);
        final ChargeWriter charges = new ChargeWriter(log, ChargeSettings.standard(), clock::millis);
        gauges = SidecarGauges.of(configuration, charges, load, clock::millis);
        final URI upstream = settings.origin(Setting.UPSTREAM).orElseThrow();
        final AttemptRunner runner = new AttemptRunner(
                new SidecarLimits(incarnation, settings.number(Setting.SLOTS), settings.number(Setting.MAX_QUEUED)),
                new UpstreamRunner(client, new UpstreamClient(upstream), this::post),
                new AttemptTable(
                        incarnation,
                        settings.seconds(Setting.KEY_LIFETIME_SECONDS).toMillis(),
                        settings.number(Setting.MAX_ATTEMPTS),
                        MAX_ANSWER_BYTES,
                        MAX_ANSWERS_BYTES),
                new WithdrawnVersions(document),
                load,
                charges::hold,
                new SidecarClock(clock::millis, System::nanoTime));
        attempts = new Duty<>("attempts", RING_CAPACITY, TICK_MILLIS, runner);
        final SessionHandler sessions = new SessionHandler(
                new SessionBindings(
                        MAX_SESSIONS, settings.seconds(Setting.SESSION_SECONDS).toMillis()),
                clock::millis);
        final OperationsHandler operations = new OperationsHandler(
                () -> load.report().ready() && !load.report().draining(), metrics, () -> status(configuration, load));
        server = new HttpServer(
                settings.text(Setting.HOST),
                settings.number(Setting.PORT),
                settings.number(Setting.IO_THREADS),
                2L * settings.number(Setting.MAX_BODY_BYTES),
                new SidecarHandler(
                        attempts::put,
                        load,
                        settled -> settled.attemptIds().forEach(charges::discardHeld),
                        entries::seen,
                        sessions,
                        operations));
        kernel.register("http.client", client)
                .register("configuration", configuration)
                .register("charges", charges)
                .register("attempts", attempts);
        if (!plain) {
            kernel.register("engine", keeper(client, upstream, document, service, load, clock));
        }
        kernel.register("http.server", server);
    }

    private Duty<Runnable> keeper(
            HttpClient client,
            URI upstream,
            Supplier<RoutingDocument> document,
            String service,
            LoadTracker load,
            Clock clock) {
        final Duration timeout = settings.millis(Setting.CALL_TIMEOUT_MS);
        final Optional<WeightStore> weights =
                settings.origin(Setting.WEIGHTS).map(origin -> new HttpWeightStore(client, origin, timeout));
        final DutyReference reference = new DutyReference();
        final EngineReconciler keeper = new EngineReconciler(
                new HttpEngineControl(client, upstream, timeout),
                weights,
                document,
                new EngineIdentity(service, settings.text(Setting.INSTANCE), incarnation),
                load,
                clock::millis,
                reference::post);
        final Duty<Runnable> duty = new Duty<>("engine", KEEPER_RING_CAPACITY, KEEPER_TICK_MILLIS, keeper);
        reference.duty = duty;
        return duty;
    }

    /**
     * Returns the gauges of the process.
     *
     * @return gauges that any thread may read
     */
    public List<Gauge> gauges() {
        return gauges;
    }

    private ProcessStatus status(ConfigurationService configuration, LoadTracker load) {
        final Optional<EffectiveConfiguration> current = configuration.effective();
        return new ProcessStatus(
                "sidecar",
                settings.text(Setting.INSTANCE),
                load.report().ready() && !load.report().draining(),
                current.map(EffectiveConfiguration::offset).orElse(-1L),
                current.map(EffectiveConfiguration::revision).orElse(0L),
                current.map(EffectiveConfiguration::sinceMillis).orElse(0L),
                configuration.tailAgeMillis().orElse(-1));
    }

    private void post(SidecarEvent event) {
        attempts.put(event);
    }

    @Override
    public void start() {
        kernel.start();
        LOGGER.info(
                "sidecar {} of service {} listens on port {}",
                settings.text(Setting.INSTANCE),
                settings.text(Setting.SERVICE),
                server.port());
    }

    /** Refuses new attempts, finishes the others, flushes charges and stops. */
    @Override
    public void stop() {
        final long lingerUntil =
                System.nanoTime() + settings.millis(Setting.SHUTDOWN_DELAY_MS).toNanos();
        final CompletableFuture<Void> drained = new CompletableFuture<>();
        attempts.put(new SidecarEvent.Drain(drained));
        drained.completeOnTimeout(null, settings.seconds(Setting.DRAIN_SECONDS).toMillis(), TimeUnit.MILLISECONDS)
                .join();
        // A server that closes at once would reset a dispatch that is under way, and leave open whether it ran.
        ShutdownDelay.sleepUntil(lingerUntil);
        kernel.stop();
    }

    /**
     * Returns the port in use.
     *
     * @return the port
     */
    public int port() {
        return server.port();
    }

    /** Breaks the cycle between a duty and its handler, which posts to it. */
    private static final class DutyReference {
        private volatile Duty<Runnable> duty;

        void post(Runnable action) {
            duty.put(action);
        }
    }
}
