package org.masticpaddle.entry;

import java.net.URI;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticpaddle.admission.AdmissionQueue;
import org.masticpaddle.admission.OrganisationLimiter;
import org.masticpaddle.admission.RetryBudget;
import org.masticpaddle.billing.ChargeWriter;
import org.masticpaddle.claim.AttemptIdGenerator;
import org.masticpaddle.claim.ClaimService;
import org.masticpaddle.document.ConfigurationHandler;
import org.masticpaddle.document.ConfigurationService;
import org.masticpaddle.document.ConfigurationSettings;
import org.masticpaddle.document.EffectiveConfiguration;
import org.masticpaddle.document.HttpConfigurationPeer;
import org.masticpaddle.document.ModelVersion;
import org.masticpaddle.document.RoutingDocument;
import org.masticpaddle.kernel.Kernel;
import org.masticpaddle.kernel.Service;
import org.masticpaddle.kernel.ShutdownDelay;
import org.masticpaddle.membership.MembershipService;
import org.masticpaddle.membership.MembershipSettings;
import org.masticpaddle.membership.MembershipSnapshot;
import org.masticpaddle.membership.Observation;
import org.masticpaddle.metrics.Gauge;
import org.masticpaddle.platform.HttpEventLog;
import org.masticpaddle.platform.HttpInstanceList;
import org.masticpaddle.platform.Instance;
import org.masticpaddle.rollout.Observations;
import org.masticpaddle.routing.CascadePolicy;
import org.masticpaddle.routing.PrefixIndex;
import org.masticpaddle.routing.QualityEstimates;
import org.masticpaddle.routing.UpstreamPolicy;
import org.masticpaddle.routing.UpstreamSelector;
import org.masticpaddle.routing.VersionSelector;
import org.masticpaddle.settings.ProcessSettings;
import org.masticpaddle.settings.Setting;
import org.masticpaddle.wire.HttpClient;
import org.masticpaddle.wire.HttpServer;
import org.masticpaddle.wire.OperationsHandler;
import org.masticpaddle.wire.ProcessStatus;

/** An entry process with all its components. Start and stop are called once each, by one thread. */
public final class EntryProcess implements Service {
    private static final Logger LOGGER = LogManager.getLogger(EntryProcess.class);
    private static final long UPDATE_INTERVAL_NANOS = 500_000_000L;

    private final ProcessSettings settings;
    private final Kernel kernel = new Kernel();
    private final Clock clock = Clock.systemUTC();
    private final EntryLoop loop = new EntryLoop();
    private final HttpServer server;
    private final RequestScheduler scheduler;
    private final ChargePublisher chargePublisher;
    private final AttemptDispatcher attemptDispatcher;
    private final Upstreams upstreams;
    private final VersionTracker versionTracker;
    private final ConfigurationService configuration;
    private volatile boolean draining;
    private final AdmissionControl admission;
    private final EntrySummaryExchange summaryExchange;
    private final DemandExchange demandExchange;
    private final CacheEventReader cacheEventReader;
    private final ServiceLevelPublisher serviceLevels;
    private final EntryGauges entryGauges = new EntryGauges();
    private final List<Gauge> gauges;
    private final MembershipService membership;
    private long nextUpdateNanos;
    private long appliedRevision;

    /**
     * Creates the components of an entry.
     *
     * @param settings validated settings for the role {@code entry}
     * @param incarnation incarnation of the process, higher than that of every earlier start of the instance
     * @param counters counters of answers and errors
     * @param metrics renders the metrics page of the process
     */
    public EntryProcess(ProcessSettings settings, long incarnation, EntryCounters counters, Supplier<String> metrics) {
        this.settings = Objects.requireNonNull(settings, "settings is null");
        final EntryOptions options = new EntryOptions(settings);
        final String instance = settings.text(Setting.INSTANCE);
        final UniformRandomProvider random = random();
        final EntryContext context = new EntryContext(
                loop, clock::millis, System::nanoTime, random, new AttemptIdGenerator(clock::millis, random::nextLong));
        final String source = instance + "#" + incarnation;
        final Duration timeout = settings.millis(Setting.CALL_TIMEOUT_MS);
        final HttpClient client = new HttpClient(settings.number(Setting.IO_THREADS));
        final HttpEventLog log =
                new HttpEventLog(client, settings.origin(Setting.LOG).orElseThrow(), timeout);
        membership = new MembershipService(
                MembershipSettings.of(instance, settings.text(Setting.REGION), settings.number(Setting.SUBSET)),
                new HttpInstanceList(client, settings.origin(Setting.INSTANCES).orElseThrow(), timeout),
                client,
                random(),
                clock::millis);
        upstreams = new Upstreams(
                new PrefixIndex(PrefixIndex.DEFAULT_BLOCKS),
                new UpstreamSelector(UpstreamPolicy.of(settings.text(Setting.REGION))),
                (id, load) -> membership.observe(id, new Observation.Reported(load)));
        final List<URI> peers =
                settings.list(Setting.PEERS).stream().map(URI::create).toList();
        configuration = ConfigurationService.fromLog(
                ConfigurationSettings.of(
                        URI.create("http://" + instance), settings.seconds(Setting.LOG_RETENTION_SECONDS)),
                log,
                new HttpConfigurationPeer(client, timeout),
                () -> otherEntries(peers, membership.snapshot()),
                clock::millis,
                RandomSource.XO_RO_SHI_RO_128_PP.create());
        versionTracker = new VersionTracker(
                new QualityEstimates(source, QualityEstimates.HALF_LIFE_MILLIS),
                new Observations(source),
                clock::millis);
        final ClaimService claimService = new ClaimService(
                log, options.claimSettings(), clock::millis, new AttemptIdGenerator(clock::millis, random()::nextLong));
        final ChargeWriter chargeWriter = new ChargeWriter(log, options.chargeSettings(), clock::millis);
        final SidecarClient sidecarClient = new SidecarClient(client, this::origin);
        chargePublisher = new ChargePublisher(chargeWriter, sidecarClient);
        final SessionBinder sessionBinder = new SessionBinder(
                options.sessionToken(),
                new SidecarSessionDirectory(client, () -> engineSidecars(membership.snapshot())),
                loop,
                clock::millis);
        admission = new AdmissionControl(
                AdmissionQueue.of(settings.number(Setting.QUEUE), RoutingDocument.EMPTY.ranks()),
                OrganisationLimiter.of(source, settings.text(Setting.FAILURE_DOMAIN)),
                RetryBudget.create());
        final VersionSelector versionSelector = new VersionSelector(CascadePolicy.DEFAULT);
        scheduler = new RequestScheduler(
                context,
                configuration::effective,
                admission,
                versionSelector,
                versionTracker,
                upstreams,
                sessionBinder);
        final AnswerProcessor answerProcessor = new AnswerProcessor(
                context,
                scheduler,
                chargePublisher,
                claimService,
                new AnswerRatings(options.ratings(client, timeout), settings.share(Setting.RATED_SHARE)),
                versionTracker,
                upstreams);
        final ClaimCoordinator claimCoordinator = new ClaimCoordinator(
                context,
                claimService,
                sidecarClient,
                id -> Optional.ofNullable(membership.snapshot().instances().get(id))
                        .map(Instance::address),
                scheduler,
                answerProcessor);
        attemptDispatcher = new AttemptDispatcher(
                context,
                scheduler,
                sidecarClient,
                upstreams,
                claimCoordinator,
                answerProcessor,
                admission.retryBudget());
        scheduler.setDispatcher(attemptDispatcher);
        summaryExchange = new EntrySummaryExchange(context, log, source, versionTracker);
        cacheEventReader = new CacheEventReader(context, client, upstreams);
        demandExchange = new DemandExchange(
                context, client, instance, settings.text(Setting.FAILURE_DOMAIN), admission.organisationLimiter());
        final ServiceLevelCounts counts = new ServiceLevelCounts(
                counters,
                rank -> configuration
                        .effective()
                        .map(EffectiveConfiguration::document)
                        .orElse(RoutingDocument.EMPTY)
                        .policy(rank)
                        .firstTokenMillis());
        serviceLevels = new ServiceLevelPublisher(context, log, source, counts);
        gauges = entryGauges.all(configuration, chargeWriter, clock::millis);
        loop.onTick(this::tick);
        membership.subscribe(snapshot -> loop.execute(() -> onMembershipChange(snapshot)));
        server = new HttpServer(
                settings.text(Setting.HOST),
                settings.number(Setting.PORT),
                settings.number(Setting.IO_THREADS),
                settings.number(Setting.MAX_BODY_BYTES),
                new EntryHandler(
                        loop,
                        new RequestReader(System::nanoTime, new AttemptIdGenerator(clock::millis, random()::nextLong)),
                        configuration::effective,
                        scheduler::submit,
                        counts,
                        Map.of(
                                "/internal/configuration", new ConfigurationHandler(configuration::changesSince),
                                "/internal/demand", new DemandHandler(loop, demandExchange),
                                "/internal/explain",
                                        new ExplainHandler(
                                                loop,
                                                sessionBinder,
                                                new RequestExplainer(
                                                        context,
                                                        instance,
                                                        configuration::effective,
                                                        versionSelector,
                                                        versionTracker,
                                                        upstreams))),
                        new OperationsHandler(this::ready, metrics, this::status)));
        kernel.register("http.client", client)
                .register("membership", membership)
                .register("configuration", configuration)
                .register("claims", claimService)
                .register("charges", chargeWriter)
                .register("requests", loop)
                .register("http.server", server);
    }

    @Override
    public void start() {
        kernel.start();
        LOGGER.info("entry {} listens on port {}", settings.text(Setting.INSTANCE), server.port());
    }

    /**
     * Becomes unready, rejects new requests, waits for the active ones up to the drain timeout, flushes charges and
     * stops.
     */
    @Override
    public void stop() {
        final long earliestStopNanos =
                System.nanoTime() + settings.millis(Setting.SHUTDOWN_DELAY_MS).toNanos();
        draining = true;
        final CompletableFuture<Void> drained = scheduler.drain();
        drained.completeOnTimeout(null, settings.seconds(Setting.DRAIN_SECONDS).toMillis(), TimeUnit.MILLISECONDS)
                .join();
        // Closing the server immediately would reset requests that are just arriving, and leave it unknown whether they
        // ran.
        ShutdownDelay.sleepUntil(earliestStopNanos);
        chargePublisher.sendAcknowledgements();
        loop.execute(serviceLevels::flush);
        kernel.stop();
    }

    /**
     * Returns the port on which the HTTP server listens.
     *
     * @return port number
     */
    public int port() {
        return server.port();
    }

    /**
     * Returns whether the entry accepts requests.
     *
     * @return {@code true} if a routing document is in effect and the entry is not draining
     */
    public boolean ready() {
        return !draining && configuration.effective().isPresent();
    }

    /**
     * Returns the gauges of the process.
     *
     * @return gauges that any thread may read
     */
    public List<Gauge> gauges() {
        return gauges;
    }

    private String origin() {
        return "http://" + settings.text(Setting.HOST) + ":" + server.port();
    }

    private void tick() {
        final List<Instance> entries = membership.snapshot().entries();
        upstreams.update(clock.millis(), entries.size());
        scheduler.tick();
        attemptDispatcher.tick();
        chargePublisher.sendAcknowledgements();
        summaryExchange.tick(entries.size());
        demandExchange.tick(entries);
        cacheEventReader.tick();
        serviceLevels.tick(entries.size());
        final long now = System.nanoTime();
        if (now >= nextUpdateNanos) {
            nextUpdateNanos = now + UPDATE_INTERVAL_NANOS;
            entryGauges.update(admission.queue(), upstreams);
            configuration.effective().ifPresent(this::applyConfiguration);
        }
    }

    private void applyConfiguration(EffectiveConfiguration current) {
        versionTracker.updateStates(current.document(), upstreams);
        if (current.revision() != appliedRevision) {
            appliedRevision = current.revision();
            admission.queue().updatePolicies(current.document().ranks());
            upstreams.updatePolicies(current.document().ranks());
        }
    }

    private void onMembershipChange(MembershipSnapshot snapshot) {
        final List<Instance> members = new ArrayList<>();
        snapshot.subsets().values().forEach(subset -> subset.forEach(member -> members.add(member.instance())));
        upstreams.updateMembers(members);
        snapshot.subsets()
                .forEach((service, subset) -> subset.forEach(member -> member.load()
                        .ifPresent(load -> upstreams.recordReport(
                                service, member.instance().id(), load, member.lastReportMillis(), System.nanoTime()))));
        scheduler.dispatchWaiting();
    }

    private ProcessStatus status() {
        final Optional<EffectiveConfiguration> current = configuration.effective();
        return new ProcessStatus(
                "entry",
                settings.text(Setting.INSTANCE),
                ready(),
                current.map(EffectiveConfiguration::offset).orElse(-1L),
                current.map(EffectiveConfiguration::revision).orElse(0L),
                current.map(EffectiveConfiguration::sinceMillis).orElse(0L),
                configuration.tailAgeMillis().orElse(-1));
    }

    /** Creates a random source. Sources are not thread-safe, so each is used by one thread only. */
    private static UniformRandomProvider random() {
        return RandomSource.XO_RO_SHI_RO_128_PP.create();
    }

    private List<URI> otherEntries(List<URI> peers, MembershipSnapshot snapshot) {
        final List<URI> all = new ArrayList<>(peers);
        snapshot.entries().stream()
                .filter(entry -> !entry.id().equals(settings.text(Setting.INSTANCE)))
                .map(Instance::address)
                .filter(address -> !all.contains(address))
                .forEach(all::add);
        return all;
    }

    /** Returns the sidecars of model engines, which hold the session replicas. */
    private Collection<Instance> engineSidecars(MembershipSnapshot snapshot) {
        final Set<String> services = new HashSet<>();
        configuration
                .effective()
                .ifPresent(current -> current.document().versions().values().stream()
                        .map(ModelVersion::service)
                        .forEach(services::add));
        return snapshot.instances().values().stream()
                .filter(instance -> services.contains(instance.service()))
                .toList();
    }
}
