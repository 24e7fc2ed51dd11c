package org.masticpaddle.bench;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import org.masticpaddle.document.PublishResult;
import org.masticpaddle.document.Publisher;
import org.masticpaddle.document.TeamText;
import org.masticpaddle.platform.HttpEventLog;
import org.masticpaddle.platform.Instance;
import org.masticpaddle.standin.EngineSettings;
import org.masticpaddle.standin.FaultProxy;
import org.masticpaddle.wire.HttpRequest;
import org.masticpaddle.wire.Json;

/**
 * Two entries, six sidecars of engines and two of a plain service as processes of the operating system, with a proxy in
 * front of each process, each upstream and the log. The stand-ins run in the test's own virtual machine, so that their
 * journals and addresses outlive every restart. Used by one thread.
 */
final class ProcessDeployment extends Callers {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);
    private static final Deployment SHAPE = new Deployment(
            "fault", List.of("domain-a", "domain-b", "domain-c"), "model-engines", 6, "booking-app", 2, 2, 16, 0.25);
    private static final List<EngineSettings.Version> VERSIONS = Stream.of(
                    "a/v1", "a/v2", "a/v3", "b/v1", "b/v2", "b/v3")
            .map(name -> new EngineSettings.Version("model-" + name, 0.9, 1))
            .toList();

    private final LocalPlatform platform = new LocalPlatform(
            SHAPE, VERSIONS, VERSIONS.stream().map(EngineSettings.Version::name).toList());
    private final Path directory;
    private final Map<String, String> document;
    private final List<DaemonProcess> entries = new ArrayList<>();
    private final List<DaemonProcess> engineSidecars = new ArrayList<>();
    private final List<DaemonProcess> plainSidecars = new ArrayList<>();
    private final List<FaultProxy> upstreamProxies = new ArrayList<>();
    private FaultProxy logProxy;

    ProcessDeployment(Path directory, long seed) throws IOException {
        super(seed);
        this.directory = directory;
        // Of 50 requests a second one entry of two admits 12 at once, fewer than a row sends; limits have tests of
        // their own.
        final String text = Files.readString(Path.of("samples", "routing.ini"))
                .replace("requests_per_second = 50\n", "requests_per_second = 500\n");
        document = new HashMap<>(TeamText.split(text));
    }

    void start() {
        client().start();
        platform.start();
        logProxy = new FaultProxy(platform.log().origin());
        logProxy.start();
        document.keySet().stream().sorted().forEach(this::publish);
        for (int index = 0; index < SHAPE.entries(); index++) {
            final String id = "entry-" + index;
            final String text = "[entry]\nsession_keys = session-key-of-the-test\n";
            entries.add(daemon("entry", id, Instance.ENTRY_SERVICE, index, text));
        }
        for (int index = 0; index < SHAPE.workers(); index++) {
            engineSidecars.add(sidecar(
                    "worker-" + index,
                    SHAPE.modelService(),
                    "engine",
                    index,
                    platform.engines().get(index).origin()));
        }
        for (int index = 0; index < SHAPE.plainWorkers(); index++) {
            plainSidecars.add(sidecar(
                    "plain-" + index,
                    SHAPE.plainService(),
                    "plain",
                    index,
                    platform.plainServices().get(index).origin()));
        }
        processes().forEach(DaemonProcess::launch);
        processes().forEach(DaemonProcess::awaitPort);
        awaitReady();
    }

    void stop() {
        processes().forEach(DaemonProcess::close);
        upstreamProxies.forEach(FaultProxy::stop);
        logProxy.stop();
        platform.stop();
        client().stop();
    }

    private DaemonProcess sidecar(String id, String service, String kind, int index, URI upstream) {
        final FaultProxy proxy = new FaultProxy(upstream);
        proxy.start();
        upstreamProxies.add(proxy);
        final String origins = String.join(
                ",",
                entries.stream().map(entry -> entry.proxy().origin().toString()).toList());
        final String text = "[sidecar]\nservice = " + service + "\nkind = " + kind + "\nupstream = " + proxy.origin()
                + "\nslots = 16\nentries = " + origins + "\n";
        return daemon("sidecar", id, service, index, text);
    }

    private DaemonProcess daemon(String role, String id, String service, int index, String text) {
        final String domain = SHAPE.failureDomain(index);
        final String settings = "[process]\nrole = " + role + "\ninstance = " + id + "\nregion = " + SHAPE.region()
                + "\nfailure_domain = " + domain + "\n"
                + platform.platformSection()
                        .replace(
                                platform.log().origin().toString(),
                                logProxy.origin().toString())
                + text;
        final DaemonProcess process = new DaemonProcess(id, settings, directory);
        platform.register(id, service, SHAPE.region(), domain, process.proxy().origin());
        return process;
    }

    LocalPlatform platform() {
        return platform;
    }

    FaultProxy logProxy() {
        return logProxy;
    }

    DaemonProcess entry(int index) {
        return entries.get(index);
    }

    @Override
    URI entryOrigin(int index) {
        return entries.get(index).proxy().origin();
    }

    DaemonProcess engineSidecar(int index) {
        return engineSidecars.get(index);
    }

    DaemonProcess plainSidecar(int index) {
        return plainSidecars.get(index);
    }

    FaultProxy engineProxy(int index) {
        return upstreamProxies.get(index);
    }

    List<DaemonProcess> processes() {
        return Stream.of(entries, engineSidecars, plainSidecars)
                .flatMap(List::stream)
                .toList();
    }

    /** Publishes a changed part of a team. */
    void publish(String team, String text) {
        document.put(team, text);
        publish(team);
    }

    String part(String team) {
        return document.get(team);
    }

    private void publish(String team) {
        final Publisher publisher =
                new Publisher(new HttpEventLog(client(), platform.log().origin(), REQUEST_TIMEOUT), REQUEST_TIMEOUT, random());
        final PublishResult result =
                publisher.publish(team, publisher.read().partRevision(team), document.get(team), "test");
        if (!(result instanceof PublishResult.Accepted)) {
            throw new AssertionError("edit of team " + team + " was not accepted: " + result);
        }
    }

    /** Ends all faults and starts what is dead, so that one failed row does not fail those after it. */
    void clearFaults() {
        platform.log().faults().disableAll();
        platform.instances().faults().disableAll();
        platform.engines().forEach(engine -> engine.faults().disableAll());
        platform.plainServices().forEach(service -> service.faults().disableAll());
        logProxy.clearFaults();
        upstreamProxies.forEach(FaultProxy::clearFaults);
        final List<DaemonProcess> dead =
                processes().stream().filter(process -> !process.alive()).toList();
        dead.forEach(DaemonProcess::launch);
        dead.forEach(DaemonProcess::awaitPort);
        processes().forEach(process -> {
            process.proxy().clearFaults();
            process.resume();
        });
        awaitReady();
    }

    /** How often a key was booked on all upstreams. */
    @Override
    int runCount(String key) {
        return platform.plainServices().stream()
                .mapToInt(service -> service.bookingCount(key))
                .sum();
    }

    /** Index of the upstream that booked a key. */
    int bookingUpstream(String key) {
        return platform.plainServices().get(0).bookingCount(key) > 0 ? 0 : 1;
    }

    /** Status of an entry, empty if it does not answer. */
    Optional<JsonNode> status(int entry) {
        final HttpRequest call =
                HttpRequest.get(entries.get(entry).proxy().origin(), "/internal/process", Duration.ofSeconds(2));
        return client().send(call.onFreshConnection())
                .handle((answer, error) ->
                        error == null ? Optional.of(Json.tree(answer.body())) : Optional.<JsonNode>empty())
                .join();
    }

    /** Waits until both entries answer through every kind of upstream. */
    void awaitReady() {
        for (int index = 0; index < SHAPE.entries(); index++) {
            final int entry = index;
            await(() ->
                    join(send(entry, chat("auto", Optional.empty(), 1, false))).answered()
                            && join(sendBooking(entry, newKey(), 5_000)).answered());
        }
    }
}
