package org.masticpaddle.bench;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.masticpaddle.claim.AttemptIdGenerator;
import org.masticpaddle.document.DocumentCheck;
import org.masticpaddle.document.Part;
import org.masticpaddle.document.RoutingDocument;
import org.masticpaddle.document.TeamText;
import org.masticpaddle.standin.EngineSettings;
import org.masticpaddle.wire.HttpClient;

/**
 * Runs a whole deployment inside this virtual machine, sends it a mixed load, withdraws a version midway, and checks the
 * guarantees. Used by one thread.
 */
public final class Demonstration {
    private static final String WITHDRAWN_VERSION = "model-a/v1";
    private static final long WITHDRAWAL_PROPAGATION_MILLIS = 11_000;
    private static final long AWAIT_TIMEOUT_SECONDS = 30;
    private static final List<String> API_KEYS = List.of("demo-key-north", "demo-key-south", "demo-key-east");
    private static final List<EngineSettings.Version> VERSIONS = List.of(
            new EngineSettings.Version("model-a/v1", 0.62, 0.6),
            new EngineSettings.Version("model-a/v2", 0.70, 0.6),
            new EngineSettings.Version("model-a/v3", 0.74, 0.6),
            new EngineSettings.Version("model-b/v1", 0.84, 1.4),
            new EngineSettings.Version("model-b/v2", 0.89, 1.4),
            new EngineSettings.Version("model-b/v3", 0.91, 1.4));

    private final String document;
    private final int seconds;
    private final int requestsPerSecond;
    private final PrintStream out;
    private final UniformRandomProvider random;
    private final List<LoadResult> probes = new ArrayList<>();

    /**
     * Creates a demonstration.
     *
     * @param document text of the sample document
     * @param seconds duration of the load
     * @param requestsPerSecond requests a second
     * @param seed seed of the load
     * @param out receives progress and the final table
     */
    public Demonstration(String document, int seconds, int requestsPerSecond, long seed, PrintStream out) {
        this.document = document;
        this.seconds = seconds;
        this.requestsPerSecond = requestsPerSecond;
        this.out = out;
        this.random = RandomSource.SPLIT_MIX_64.create(seed);
    }

    /**
     * Runs it.
     *
     * @return guarantees that were violated, empty if none
     */
    public List<String> run() {
        final Map<String, String> parts = new HashMap<>(TeamText.split(document));
        final Deployment deployment = new Deployment(
                "demo", List.of("domain-a", "domain-b", "domain-c"), "model-engines", 6, "booking-app", 2, 2, 16, 0.1);
        final LocalPlatform platform = new LocalPlatform(
                deployment,
                VERSIONS,
                VERSIONS.stream().map(EngineSettings.Version::name).toList());
        final LocalDeployment local = new LocalDeployment(deployment, platform, parts);
        final HttpClient client = new HttpClient(2);
        client.start();
        try {
            local.start();
            out.println("2 entries, 6 model workers and 2 plain upstreams run on loopback; the document is published");
            return runLoad(local, new LoadClient(client, local.entryOrigins()), parts);
        } finally {
            local.stop();
            client.stop();
        }
    }

    private List<String> runLoad(LocalDeployment local, LoadClient client, Map<String, String> parts) {
        await(() -> local.ready() && probeSucceeds(client));
        final DemoLoad load =
                new DemoLoad(API_KEYS, random, new AttemptIdGenerator(System::currentTimeMillis, random::nextLong));
        final List<CompletableFuture<LoadResult>> pending = new ArrayList<>();
        final AtomicInteger done = new AtomicInteger();
        final long start = System.nanoTime();
        final long interval = TimeUnit.SECONDS.toNanos(1) / requestsPerSecond;
        long withdrawnMillis = 0;
        for (int sent = 0; sent < seconds * requestsPerSecond; sent++) {
            sleepUntil(start + sent * interval);
            final CompletableFuture<LoadResult> result = client.send(load.nextRequest());
            result.thenRun(done::incrementAndGet);
            pending.add(result);
            if (sent == seconds * requestsPerSecond / 2) {
                local.publish("platform", withdrawVersion(parts.get("platform")));
                withdrawnMillis = System.currentTimeMillis();
                out.println("  version " + WITHDRAWN_VERSION + " is withdrawn");
            }
            if (sent % requestsPerSecond == requestsPerSecond - 1) {
                out.printf(
                        Locale.ROOT,
                        "  %2d s: %d sent, %d ended%n",
                        (sent + 1) / requestsPerSecond,
                        sent + 1,
                        done.get());
            }
        }
        final List<LoadResult> results =
                pending.stream().map(CompletableFuture::join).toList();
        final RoutingDocument routing = DocumentCheck.check(parts.entrySet().stream()
                        .map(part -> Part.of(part.getKey(), part.getValue()))
                        .toList())
                .document();
        final GuaranteeCheck check = new GuaranteeCheck(local.platform(), routing, organisationByKey());
        check.checkAnswers(results);
        check.checkSessions(results, Set.of(WITHDRAWN_VERSION));
        check.checkWithdrawn(WITHDRAWN_VERSION, withdrawnMillis + WITHDRAWAL_PROPAGATION_MILLIS);
        check.checkBookings(results);
        final List<LoadResult> charged = new ArrayList<>(results);
        charged.addAll(probes);
        await(() -> check.chargesMatch(charged));
        check.checkCharges(charged);
        DemoTable.print(results, out);
        return check.violations();
    }

    private boolean probeSucceeds(LoadClient client) {
        final LoadRequest probe = new LoadRequest(
                "probe",
                "POST",
                "/v1/chat/completions",
                Map.of("Authorization", "Bearer " + API_KEYS.get(1), "Content-Type", "application/json"),
                ChatText.requestBody("auto", "ready", 1, false));
        final List<LoadResult> results =
                List.of(client.send(probe).join(), client.send(probe).join());
        probes.addAll(results);
        return results.stream().allMatch(LoadResult::answered);
    }

    private static String withdrawVersion(String platformPart) {
        return platformPart.replace(
                "[platform version model-a v1]", "[platform version model-a v1]\nstate = withdrawn");
    }

    private static Map<String, String> organisationByKey() {
        final Map<String, String> names = new TreeMap<>();
        API_KEYS.forEach(key -> names.put(key, key.substring("demo-key-".length())));
        return names;
    }

    private static void await(BooleanSupplier condition) {
        final long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(AWAIT_TIMEOUT_SECONDS);
        while (!condition.getAsBoolean() && System.nanoTime() < deadline) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(50));
        }
    }

    private static void sleepUntil(long nanos) {
        long left = nanos - System.nanoTime();
        while (left > 0) {
            LockSupport.parkNanos(left);
            left = nanos - System.nanoTime();
        }
    }
}
