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
import org.masticpaddle.kernel.Service;
import org.masticpaddle.kernel.ShutdownDelay;
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

/**
 * A sidecar process with all its components. {@link #start()} and {@link #stop()} must be called once each, by one
 * thread.
 */
public final class SidecarProcess implements Service {
    private static final Logger LOGGER = LogManager.getLogger(SidecarProcess.class);
    private static final int ATTEMPTS_RING_CAPACITY = 4_096;
    private static final int ENGINE_RING_CAPACITY = 64;
    private static final long ATTEMPTS_TICK_MILLIS = 10;
    private static final long ENGINE_TICK_MILLIS = 50;
    private static final int MAX_RECORDED_ANSWER_BYTES = 64 * 1024;
    private static final long MAX_TOTAL_RECORDED_BYTES = 32L << 20;
    private static final int MAX_SESSIONS = 65_536;

    private final ProcessSettings settings;
    private final long incarnation;
    private final Kernel kernel = new Kernel();
    private final HttpServer server;
    private final Duty<SidecarEvent> attemptDuty;
    private final List<Gauge> gauges;

    /**
     * Creates the components of a sidecar; nothing runs before {@link #start()}.
     *
     * @param settings validated settings of the role sidecar
     * @param incarnation number of this start, above that of every earlier start in the same deployment slot
     * @param metrics supplies the metrics page of the process
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
            load.updateUpstream(true, List.of("plain/" + service));
        }
        final EntryOrigins entryOrigins = new EntryOrigins(
                settings.list(Setting.ENTRIES).stream().map(URI::create).toList());
        final ConfigurationService configuration = ConfigurationService.fromPeers(
                ConfigurationSettings.of(
                        URI.create("http://" + settings.text(Setting.INSTANCE)),
                        settings.seconds(Setting.LOG_RETENTION_SECONDS)),
                new HttpConfigurationPeer(client, timeout),
                entryOrigins::all,
                clock::millis,
                RandomSource.XO_RO_SHI_RO_128_PP.create());
        final Supplier<RoutingDocument> document = () ->
                configuration.effective().map(EffectiveConfiguration::document).orElse(RoutingDocument.EMPTY);
        final ChargeWriter chargeWriter = new ChargeWriter(log, ChargeSettings.standard(), clock::millis);
        gauges = SidecarGauges.of(configuration, chargeWriter, load, clock::millis);
        final URI upstream = settings.origin(Setting.UPSTREAM).orElseThrow();
        final AttemptRunner runner = new AttemptRunner(
                new SidecarLimits(incarnation, settings.number(Setting.SLOTS), settings.number(Setting.MAX_QUEUED)),
                new UpstreamRunner(client, new UpstreamRequestFactory(upstream), this::post),
                new AttemptTable(
                        incarnation,
                        settings.seconds(Setting.KEY_LIFETIME_SECONDS).toMillis(),
                        settings.number(Setting.MAX_ATTEMPTS),
                        MAX_RECORDED_ANSWER_BYTES,
                        MAX_TOTAL_RECORDED_BYTES),
                new WithdrawnVersions(document),
                load,
                chargeWriter::hold,
                new SidecarClock(clock::millis, System::nanoTime));
        attemptDuty = new Duty<>("attempts", ATTEMPTS_RING_CAPACITY, ATTEMPTS_TICK_MILLIS, runner);
        final SessionHandler sessionHandler = new SessionHandler(
                new SessionBindings(
                        MAX_SESSIONS, settings.seconds(Setting.SESSION_SECONDS).toMillis()),
                clock::millis);
        final OperationsHandler operationsHandler = new OperationsHandler(
                () -> load.report().ready() && !load.report().draining(), metrics, () -> status(configuration, load));
        server = new HttpServer(
                settings.text(Setting.HOST),
                settings.number(Setting.PORT),
                settings.number(Setting.IO_THREADS),
                2L * settings.number(Setting.MAX_BODY_BYTES),
                new SidecarHandler(
                        attemptDuty::put,
                        load,
                        acknowledgement -> acknowledgement.attemptIds().forEach(chargeWriter::discardHeld),
                        entryOrigins::recordSender,
                        sessionHandler,
                        operationsHandler));
        kernel.register("http.client", client)
                .register("configuration", configuration)
                .register("charges", chargeWriter)
                .register("attempts", attemptDuty);
        if (!plain) {
            kernel.register("engine", engineReconciler(client, upstream, document, service, load, clock));
        }
        kernel.register("http.server", server);
    }

    private Duty<Runnable> engineReconciler(
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
        final EngineReconciler reconciler = new EngineReconciler(
                new HttpEngineControl(client, upstream, timeout),
                weights,
                document,
                new EngineIdentity(service, settings.text(Setting.INSTANCE), incarnation),
                load,
                clock::millis,
                reference::post);
        final Duty<Runnable> duty = new Duty<>("engine", ENGINE_RING_CAPACITY, ENGINE_TICK_MILLIS, reconciler);
        reference.duty = duty;
        return duty;
    }

    /**
     * Returns the gauges of the process.
     *
     * @return immutable list of gauges, which any thread may read
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
        attemptDuty.put(event);
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

    /** Rejects new attempts, waits up to the drain timeout for the others, flushes the charges and stops. */
    @Override
    public void stop() {
        final long earliestStopNanos =
                System.nanoTime() + settings.millis(Setting.SHUTDOWN_DELAY_MS).toNanos();
        final CompletableFuture<Void> drained = new CompletableFuture<>();
        attemptDuty.put(new SidecarEvent.Drain(drained));
        drained.completeOnTimeout(null, settings.seconds(Setting.DRAIN_SECONDS).toMillis(), TimeUnit.MILLISECONDS)
                .join();
        // Closing the server at once would reset dispatches in flight, leaving it unknown to their entries whether they
        // ran.
        ShutdownDelay.sleepUntil(earliestStopNanos);
        kernel.stop();
    }

    /**
     * Returns the port on which the started process listens.
     *
     * @return configured port, or the one that the operating system chose
     */
    public int port() {
        return server.port();
    }

    /** Late-bound reference to a duty, whose handler needs it for posting before the duty exists. */
    private static final class DutyReference {
        private volatile Duty<Runnable> duty;

        void post(Runnable action) {
            duty.put(action);
        }
    }
}
