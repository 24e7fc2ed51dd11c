package org.masticpaddle.bench;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.masticpaddle.standin.EngineSettings;
import org.masticpaddle.wire.Hashing;
import org.masticpaddle.wire.HttpClient;
import org.masticpaddle.wire.Json;
import org.masticpaddle.wire.Rank;

/**
 * Overload of a whole deployment through the real processes' code: urgent work beside background work, and small
 * organisations beside a large one. Ratios are taken inside one run. Used by one thread.
 */
final class OverloadBench {
    private static final int SMALL_ORGANISATIONS = 9;
    // Slow engines keep 20 times their capacity within what one machine can send and refuse.
    private static final double ENGINE_TIME_SCALE = 4;
    // Lengths are uniform around this mean; equal ones would end in step and make every wait a whole service time.
    private static final int MEAN_OUTPUT_TOKENS = 12;
    private static final int PROMPT_WORDS = 12;

    private final Deployment deployment;
    private final int phaseSeconds;
    private final double overloadFactor;
    private final int repeats;
    private final PrintStream progress;

    OverloadBench(String deployment, int seconds, double times, int repeats, PrintStream progress) {
        this.deployment =
                "pk-central".equals(deployment) ? Deployment.pkCentral(ENGINE_TIME_SCALE) : Deployment.arCuyo(ENGINE_TIME_SCALE);
        this.phaseSeconds = seconds;
        this.overloadFactor = times;
        this.repeats = repeats;
        this.progress = progress;
    }

    List<BenchRow> run() {
        final Map<String, double[]> values = new HashMap<>();
        for (int repeat = 0; repeat < repeats; repeat++) {
            final Map<String, Double> one = measureOnce(repeat + 1);
            progress.println("  repeat " + (repeat + 1) + ": " + one);
            for (final Map.Entry<String, Double> entry : one.entrySet()) {
                values.computeIfAbsent(entry.getKey(), key -> new double[repeats])[repeat] = entry.getValue();
            }
        }
        return List.of(
                row(
                        "urgent p99 in a " + overloadFactor + "-times background overload against unloaded",
                        "at most 1.2",
                        values.get("urgent"),
                        1.2,
                        true),
                row(
                        "urgent answered share in that overload",
                        "at least 0.99",
                        values.get("urgentAnswered"),
                        0.99,
                        false),
                row(
                        "goodput at " + overloadFactor + " times capacity against at capacity",
                        "at least 0.95",
                        values.get("goodput"),
                        0.95,
                        false),
                row(
                        "small organisations' p99 beside a large one against alone",
                        "at most 1.25",
                        values.get("small"),
                        1.25,
                        true),
                row(
                        "small organisations' answered share beside a large one",
                        "at least 0.99",
                        values.get("smallAnswered"),
                        0.99,
                        false));
    }

    private Map<String, Double> measureOnce(int seed) {
        final LocalPlatform platform = new LocalPlatform(
                deployment, List.of(new EngineSettings.Version("model-a/v1", 0.9, 1)), List.of("model-a/v1"));
        final LocalDeployment local = new LocalDeployment(deployment, platform, Map.of("bench", document()));
        final HttpClient client = new HttpClient(2);
        final UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(seed);
        client.start();
        try {
            local.start();
            final LoadClient load = new LoadClient(client, local.entryOrigins());
            runPhase(load, random, List.of(new Flow("warm", "small-0", Rank.STANDARD, 0.5)), 6);
            final double capacity = measureCapacity(load, random);
            progress.printf(Locale.ROOT, "  capacity %.1f requests a second%n", capacity);
            final Flow urgent = new Flow("urgent", "small-1", Rank.URGENT, 0.3);
            final List<LoadResult> unloaded = runPhase(load, random, List.of(urgent), capacity);
            final List<LoadResult> flooded = runPhase(
                    load, random, List.of(urgent, new Flow("background", "large", Rank.BACKGROUND, overloadFactor)), capacity);
            final List<LoadResult> full =
                    runPhase(load, random, List.of(new Flow("all", "large", Rank.STANDARD, 1)), capacity);
            final List<LoadResult> over =
                    runPhase(load, random, List.of(new Flow("all", "large", Rank.STANDARD, overloadFactor)), capacity);
            final List<Flow> small = smallFlows();
            final List<LoadResult> alone = runPhase(load, random, small, capacity);
            final List<Flow> both = new ArrayList<>(small);
            both.add(new Flow("large", "large", Rank.STANDARD, overloadFactor));
            final List<LoadResult> beside = runPhase(load, random, both, capacity);
            final Map<String, Double> result = new HashMap<>();
            result.put("urgent", p99Millis(flooded, "urgent") / p99Millis(unloaded, "urgent"));
            result.put("urgentAnswered", answeredShare(flooded, "urgent"));
            result.put("goodput", (double) countAnswered(over) / countAnswered(full));
            result.put("small", p99Millis(beside, "small") / p99Millis(alone, "small"));
            result.put("smallAnswered", answeredShare(beside, "small"));
            return result;
        } finally {
            local.stop();
            client.stop();
        }
    }

    /** Answers a second when there is always more work than the fleet can take. */
    private double measureCapacity(LoadClient load, UniformRandomProvider random) {
        final double estimate = deployment.workers()
                * deployment.slots()
                / (MEAN_OUTPUT_TOKENS * (20 + deployment.slots()) * deployment.timeScale() / 1000);
        final List<LoadResult> results =
                runPhase(load, random, List.of(new Flow("all", "large", Rank.STANDARD, 1.5)), estimate);
        return countAnswered(results) / (double) phaseSeconds;
    }

    private List<Flow> smallFlows() {
        final List<Flow> flows = new ArrayList<>();
        for (int index = 0; index < SMALL_ORGANISATIONS; index++) {
            flows.add(new Flow("small", "small-" + index, Rank.STANDARD, 0.4 / SMALL_ORGANISATIONS));
        }
        return flows;
    }

    private List<LoadResult> runPhase(LoadClient load, UniformRandomProvider random, List<Flow> flows, double capacity) {
        final double rate = flows.stream().mapToDouble(Flow::loadFactor).sum() * capacity;
        final List<CompletableFuture<LoadResult>> pending = new ArrayList<>();
        final long start = System.nanoTime();
        double due = 0;
        while (due < phaseSeconds) {
            due += -Math.log(1 - random.nextDouble()) / rate;
            sleepUntil(start + (long) (due * 1e9));
            pending.add(load.send(request(pickFlow(flows, random), random)));
        }
        final List<LoadResult> results =
                pending.stream().map(CompletableFuture::join).toList();
        progress.println("  " + flows.stream().map(Flow::label).distinct().toList() + " " + outcomes(results));
        return results;
    }

    private static Map<String, Long> outcomes(List<LoadResult> results) {
        return results.stream()
                .collect(Collectors.groupingBy(
                        result -> result.request().label() + " " + outcome(result),
                        TreeMap::new,
                        Collectors.counting()));
    }

    private static String outcome(LoadResult result) {
        if (result.answered() || result.status() == 0) {
            return Integer.toString(result.status());
        }
        return Json.tree(result.body()).path("error").path("message").asText();
    }

    private static Flow pickFlow(List<Flow> flows, UniformRandomProvider random) {
        double left =
                random.nextDouble() * flows.stream().mapToDouble(Flow::loadFactor).sum();
        for (final Flow flow : flows) {
            left -= flow.loadFactor();
            if (left < 0) {
                return flow;
            }
        }
        return flows.get(flows.size() - 1);
    }

    private static LoadRequest request(Flow flow, UniformRandomProvider random) {
        final StringBuilder prompt = new StringBuilder();
        for (int index = 0; index < PROMPT_WORDS; index++) {
            prompt.append("word").append(random.nextInt(1000)).append(' ');
        }
        return new LoadRequest(
                flow.label(),
                "POST",
                "/v1/chat/completions",
                Map.of(
                        "Authorization",
                        "Bearer key-" + flow.organisation(),
                        "Content-Type",
                        "application/json",
                        "Masticpaddle-Rank",
                        flow.rank().label()),
                ChatText.requestBody("auto", prompt.toString(), 1 + random.nextInt(2 * MEAN_OUTPUT_TOKENS - 1), false));
    }

    private String document() {
        final StringBuilder text = new StringBuilder("""
                [team bench]

                [bench model model-a]
                service = %s

                [bench version model-a v1]
                prompt_price_micros = 10
                output_price_micros = 20
                quality = 0.9
                prior_weight = 1000

                [bench rank urgent]
                first_token_ms = 410
                timeout_ms = 10000

                [bench rank standard]
                first_token_ms = 1000
                timeout_ms = 8000

                [bench rank background]
                first_token_ms = 10000
                timeout_ms = 6000
                floor = 5%%

                """.formatted(deployment.modelService()));
        appendOrganisation(text, "large");
        for (int index = 0; index < SMALL_ORGANISATIONS; index++) {
            appendOrganisation(text, "small-" + index);
        }
        return text.toString();
    }

    private static void appendOrganisation(StringBuilder text, String name) {
        text.append("[bench organisation ")
                .append(name)
                .append("]\ncredential = sha256:")
                .append(Hashing.sha256(("key-" + name).getBytes(StandardCharsets.UTF_8)))
                .append("\nquality = 0.5\nallow = model-a/*\n\n");
    }

    private static double p99Millis(List<LoadResult> results, String label) {
        return Percentiles.millis(
                results.stream()
                        .filter(result -> result.request().label().equals(label) && result.answered())
                        .map(LoadResult::totalNanos)
                        .toList(),
                99);
    }

    private static double answeredShare(List<LoadResult> results, String label) {
        final List<LoadResult> chosen = results.stream()
                .filter(result -> result.request().label().equals(label))
                .toList();
        return countAnswered(chosen) / (double) Math.max(1, chosen.size());
    }

    private static long countAnswered(List<LoadResult> results) {
        return results.stream().filter(LoadResult::answered).count();
    }

    private static BenchRow row(String measure, String target, double[] values, double bound, boolean upper) {
        final double[] sorted = values.clone();
        Arrays.sort(sorted);
        final double median = sorted[sorted.length / 2];
        return new BenchRow(
                "overload",
                measure,
                target,
                median,
                sorted[sorted.length - 1] - sorted[0],
                Map.of(),
                upper ? median <= bound : median >= bound);
    }

    private static void sleepUntil(long nanos) {
        long left = nanos - System.nanoTime();
        while (left > 0) {
            LockSupport.parkNanos(left);
            left = nanos - System.nanoTime();
        }
    }

    /**
     * Part of a load.
     *
     * @param label group that the results are counted in
     * @param organisation organisation that sends it
     * @param rank rank
     * @param loadFactor requests a second as a multiple of the capacity
     */
    private record Flow(String label, String organisation, Rank rank, double loadFactor) {}
}
