package org.masticpaddle.bench;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

import org.apache.commons.rng.simple.RandomSource;
import org.masticpaddle.document.ConfigurationState;
import org.masticpaddle.document.PublishResult;
import org.masticpaddle.document.Publisher;
import org.masticpaddle.entry.CallerError;
import org.masticpaddle.entry.CallerRequest;
import org.masticpaddle.entry.EntryCounters;
import org.masticpaddle.entry.EntryProcess;
import org.masticpaddle.kernel.Service;
import org.masticpaddle.platform.HttpEventLog;
import org.masticpaddle.platform.Instance;
import org.masticpaddle.settings.ProcessSettings;
import org.masticpaddle.sidecar.SidecarProcess;
import org.masticpaddle.wire.Charge;
import org.masticpaddle.wire.HttpClient;

/**
 * The daemons' real processes of one {@link Deployment} inside this virtual machine, on loopback ports, with a
 * {@link LocalPlatform}. Used by one thread.
 */
public final class LocalDeployment implements Service {
    private static final Duration LOG_TIMEOUT = Duration.ofSeconds(5);
    private static final EntryCounters NO_COUNTERS = new EntryCounters() {
        @Override
        public void recordAnswer(CallerRequest request, Charge charge, long firstByteNanos, long totalNanos) {}

        @Override
        public void recordError(CallerRequest request, CallerError refusal) {}
    };

    private final Deployment deployment;
    private final LocalPlatform platform;
    private final Map<String, String> document;
    private final HttpClient client = new HttpClient(2);
    private final AtomicLong incarnations = new AtomicLong(System.currentTimeMillis() << 20);
    private final List<SidecarProcess> sidecars = new ArrayList<>();
    private final List<EntryProcess> entries = new ArrayList<>();

    /**
     * Creates a deployment that is not started.
     *
     * @param deployment shape
     * @param platform stand-ins, started and stopped with the deployment
     * @param document text of the routing document by team
     */
    public LocalDeployment(Deployment deployment, LocalPlatform platform, Map<String, String> document) {
        this.deployment = deployment;
        this.platform = platform;
        this.document = Map.copyOf(document);
    }

    @Override
    public void start() {
        client.start();
        platform.start();
        document.keySet().stream().sorted().forEach(team -> publish(team, document.get(team)));
        for (int index = 0; index < deployment.entries(); index++) {
            startEntry(index);
        }
        for (int index = 0; index < deployment.workers(); index++) {
            startSidecar(
                    "worker-" + index,
                    deployment.modelService(),
                    index,
                    "engine",
                    platform.engines().get(index).origin(),
                    deployment.slots());
        }
        for (int index = 0; index < deployment.plainWorkers(); index++) {
            startSidecar(
                    "plain-" + index,
                    deployment.plainService(),
                    index,
                    "plain",
                    platform.plainServices().get(index).origin(),
                    64);
        }
    }

    @Override
    public void stop() {
        entries.forEach(EntryProcess::stop);
        sidecars.forEach(SidecarProcess::stop);
        platform.stop();
        client.stop();
    }

    /**
     * Publishes the part of a team.
     *
     * @param team the team
     * @param text its text
     * @throws IllegalStateException if the edit is not accepted
     */
    public void publish(String team, String text) {
        final Publisher publisher = new Publisher(
                new HttpEventLog(client, platform.log().origin(), LOG_TIMEOUT),
                LOG_TIMEOUT,
                RandomSource.XO_RO_SHI_RO_128_PP.create());
        final ConfigurationState current = publisher.read();
        final PublishResult result = publisher.publish(team, current.partRevision(team), text, "bench");
        if (!(result instanceof PublishResult.Accepted)) {
            throw new IllegalStateException("edit of team " + team + " was not accepted: " + result);
        }
    }

    private void startEntry(int index) {
        final String id = "entry-" + index;
        final String domain = deployment.failureDomain(index);
        final EntryProcess entry = new EntryProcess(
                ProcessSettings.parse(
                        id,
                        processSection("entry", id, domain) + platform.platformSection()
                                + "[entry]\nsession_keys = session-key-of-the-bench\nrated_share = 0.2\n"),
                incarnations.incrementAndGet(),
                NO_COUNTERS,
                () -> "");
        entry.start();
        entries.add(entry);
        platform.register(id, Instance.ENTRY_SERVICE, deployment.region(), domain, loopback(entry.port()));
    }

    private void startSidecar(String id, String service, int index, String kind, URI upstream, int slots) {
        final String domain = deployment.failureDomain(index);
        final String origins =
                String.join(",", entryOrigins().stream().map(URI::toString).toList());
        final SidecarProcess sidecar = new SidecarProcess(
                ProcessSettings.parse(
                        id,
                        processSection("sidecar", id, domain) + platform.platformSection() + "[sidecar]\nservice = " + service
                                + "\nkind = " + kind + "\nupstream = " + upstream + "\nslots = " + slots
                                + "\nentries = " + origins + "\n"),
                incarnations.incrementAndGet(),
                () -> "");
        sidecar.start();
        sidecars.add(sidecar);
        platform.register(id, service, deployment.region(), domain, loopback(sidecar.port()));
    }

    private String processSection(String role, String id, String domain) {
        return "[process]\nrole = " + role + "\ninstance = " + id + "\nregion = " + deployment.region()
                + "\nfailure_domain = " + domain + "\ndrain_seconds = 5\nlinger_ms = 0\n";
    }

    /**
     * Returns the stand-ins.
     *
     * @return the platform
     */
    public LocalPlatform platform() {
        return platform;
    }

    /**
     * Tells whether every entry takes requests and knows a ready upstream.
     *
     * @return {@code true} if so
     */
    public boolean ready() {
        return entries.stream().allMatch(EntryProcess::ready);
    }

    /**
     * Returns the origins of the entries.
     *
     * @return one for each entry
     */
    public List<URI> entryOrigins() {
        return entries.stream().map(entry -> loopback(entry.port())).toList();
    }

    private static URI loopback(int port) {
        return URI.create("http://127.0.0.1:" + port);
    }
}
