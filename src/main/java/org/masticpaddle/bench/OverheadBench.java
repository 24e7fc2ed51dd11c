package org.masticpaddle.bench;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.net.URI;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.ToDoubleFunction;

import com.sun.management.OperatingSystemMXBean;
import org.masticpaddle.standin.EngineSettings;
import org.masticpaddle.wire.HttpClient;

/**
 * Time and processor time that entry and sidecar add to a call of the engine, with one entry, one sidecar and an engine
 * stand-in that answers at once. Used by one thread.
 */
final class OverheadBench {
    private static final String API_KEY = "demo-key-north";
    private static final double MAX_ADDED_MILLIS = 41;
    private static final String DOCUMENT = """
            [team bench]

            [bench model model-a]
            service = engines

            [bench version model-a v1]
            prompt_price_micros = 10
            output_price_micros = 20
            quality = 0.9
            prior_weight = 1000

            [bench organisation north]
            credential = sha256:88cf6ac6696b6e69892fc2174d894f44831251564176b17242f79c32e0692685
            quality = 0.5
            allow = model-a/*
            """;

    private final int requests;
    private final int concurrency;
    private final int repeats;
    private final PrintStream progress;

    OverheadBench(int requests, int concurrency, int repeats, PrintStream progress) {
        this.requests = requests;
        this.concurrency = concurrency;
        this.repeats = repeats;
        this.progress = progress;
    }

    List<BenchRow> run() {
        final Deployment deployment =
                new Deployment("bench", List.of("domain-a"), "engines", 1, "none", 0, 1, 64, 0.0005);
        final LocalPlatform platform = new LocalPlatform(
                deployment, List.of(new EngineSettings.Version("model-a/v1", 0.9, 1)), List.of("model-a/v1"));
        final LocalDeployment local = new LocalDeployment(deployment, platform, Map.of("bench", DOCUMENT));
        final HttpClient client = new HttpClient(2);
        client.start();
        try {
            local.start();
            final URI engine = platform.engines().get(0).origin();
            final List<Sample> direct = new ArrayList<>();
            final List<Sample> routed = new ArrayList<>();
            measure(new LoadClient(client, List.of(engine)), "model-a/v1");
            measure(new LoadClient(client, local.entryOrigins()), "auto");
            for (int repeat = 0; repeat < repeats; repeat++) {
                direct.add(measure(new LoadClient(client, List.of(engine)), "model-a/v1"));
                routed.add(measure(new LoadClient(client, local.entryOrigins()), "auto"));
                progress.printf(
                        Locale.ROOT,
                        "  repeat %d: direct %s, routed %s%n",
                        repeat + 1,
                        direct.get(repeat),
                        routed.get(repeat));
            }
            return List.of(
                    row("added p50 in ms", direct, routed, Sample::p50Millis),
                    row("added p99 in ms", direct, routed, Sample::p99Millis),
                    perCoreRow(direct, routed));
        } finally {
            local.stop();
            client.stop();
        }
    }

    private Sample measure(LoadClient client, String model) {
        final LoadRequest request = new LoadRequest(
                "chat",
                "POST",
                "/v1/chat/completions",
                Map.of("Authorization", "Bearer " + API_KEY, "Content-Type", "application/json"),
                ChatText.requestBody(model, "measure the overhead of this call", 8, false));
        final ConcurrentLinkedQueue<Long> times = new ConcurrentLinkedQueue<>();
        final AtomicInteger left = new AtomicInteger(requests);
        final AtomicInteger failed = new AtomicInteger();
        final long processorNanos = processCpuNanos();
        final long start = System.nanoTime();
        final List<CompletableFuture<Void>> lanes = new ArrayList<>();
        for (int lane = 0; lane < concurrency; lane++) {
            lanes.add(sendRemaining(client, request, left, times, failed));
        }
        lanes.forEach(CompletableFuture::join);
        final double seconds = (System.nanoTime() - start) / 1e9;
        final double processorSeconds = (processCpuNanos() - processorNanos) / 1e9;
        if (failed.get() > 0) {
            progress.println("  " + failed.get() + " requests failed");
        }
        return new Sample(
                Percentiles.millis(times, 50),
                Percentiles.millis(times, 99),
                requests / seconds,
                processorSeconds / requests);
    }

    private static CompletableFuture<Void> sendRemaining(
            LoadClient client,
            LoadRequest request,
            AtomicInteger left,
            ConcurrentLinkedQueue<Long> times,
            AtomicInteger failed) {
        if (left.getAndDecrement() <= 0) {
            return CompletableFuture.completedFuture(null);
        }
        return client.send(request).thenComposeAsync(result -> {
            if (result.answered()) {
                times.add(result.totalNanos());
            } else {
                failed.incrementAndGet();
            }
            return sendRemaining(client, request, left, times, failed);
        });
    }

    private static long processCpuNanos() {
        return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean()).getProcessCpuTime();
    }

    private BenchRow row(String measure, List<Sample> direct, List<Sample> routed, ToDoubleFunction<Sample> value) {
        final double[] added = new double[repeats];
        final double[] base = direct.stream().mapToDouble(value).toArray();
        for (int index = 0; index < repeats; index++) {
            added[index] = value.applyAsDouble(routed.get(index)) - base[index];
        }
        return row(
                measure,
                "at most a tenth of the first-token target, " + MAX_ADDED_MILLIS + " ms",
                added,
                Map.of("direct", median(base)),
                median(added) <= MAX_ADDED_MILLIS);
    }

    private BenchRow perCoreRow(List<Sample> direct, List<Sample> routed) {
        final double[] rates = new double[repeats];
        for (int index = 0; index < repeats; index++) {
            rates[index] = 1
                    / Math.max(
                            1e-9,
                            routed.get(index).cpuSecondsPerRequest()
                                    - direct.get(index).cpuSecondsPerRequest());
        }
        return row("requests a second and core of entry and sidecar", "none stated", rates, Map.of(), true);
    }

    private static BenchRow row(
            String measure, String target, double[] values, Map<String, Double> baselines, boolean met) {
        return new BenchRow(
                "overhead",
                measure,
                target,
                median(values),
                Arrays.stream(values).max().orElse(0)
                        - Arrays.stream(values).min().orElse(0),
                baselines,
                met);
    }

    private static double median(double[] values) {
        final double[] sorted = values.clone();
        Arrays.sort(sorted);
        return sorted[sorted.length / 2];
    }

    /**
     * One measurement.
     *
     * @param p50Millis median of the time to the whole answer
     * @param p99Millis 99th percentile of that time
     * @param requestsPerSecond requests a second
     * @param cpuSecondsPerRequest processor time of all parts in this virtual machine for each request
     */
    private record Sample(double p50Millis, double p99Millis, double requestsPerSecond, double cpuSecondsPerRequest) {
        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "p50 %.2f ms p99 %.2f ms %.0f/s %.3f ms of processor time",
                    p50Millis,
                    p99Millis,
                    requestsPerSecond,
                    cpuSecondsPerRequest * 1000);
        }
    }
}
