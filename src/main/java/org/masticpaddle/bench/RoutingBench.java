package org.masticpaddle.bench;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.IntStream;

import org.masticpaddle.wire.Json;

/** Measures the routing decisions in virtual time for both deployments and prints a JSON row for each figure. */
public final class RoutingBench {
    private static final int SEEDS = 5;
    private static final int CANDIDATES = 500;

    private RoutingBench() {}

    /**
     * Runs scenarios.
     *
     * @param arguments names of scenarios; none for all
     */
    public static void main(String[] arguments) {
        run(List.of(arguments), row -> System.out.println(new String(Json.encode(row), StandardCharsets.UTF_8)));
    }

    /**
     * Runs scenarios for both deployments.
     *
     * @param names any of cost, sessions, prefix, herding and decision; empty for all
     * @param rows receives each row when it is measured
     */
    public static void run(List<String> names, Consumer<BenchRow> rows) {
        for (final RoutingDeployment deployment : RoutingDeployment.ALL) {
            final Map<String, Supplier<List<BenchRow>>> scenarios = new LinkedHashMap<>();
            scenarios.put("cost", () -> cost(deployment));
            scenarios.put("sessions", () -> List.of(sessions(deployment)));
            scenarios.put("prefix", () -> prefix(deployment));
            scenarios.put("herding", () -> List.of(herding(deployment)));
            scenarios.put(
                    "decision",
                    () -> List.of(
                            decisionTime(deployment, "decision time", 0.95),
                            decisionTime(deployment, "decision time, 1 in 100 candidates usable", 0.01)));
            scenarios.forEach((name, scenario) -> {
                if (names.isEmpty() || names.contains(name)) {
                    scenario.get().forEach(rows);
                }
            });
        }
    }

    private static List<BenchRow> cost(RoutingDeployment deployment) {
        final Samples cost = new Samples(SEEDS);
        final Samples margin = new Samples(SEEDS);
        IntStream.range(0, SEEDS).parallel().forEach(seed -> {
            final Map<String, CostExperiment.Tally> tallies = new CostExperiment(deployment, seed).run();
            final double best = tallies.get("always best").cost();
            cost.setValue(seed, tallies.get("routed").cost() / best);
            margin.setValue(seed, tallies.get("routed").worstQualityMargin());
            for (final String name : List.of("always best", "round robin", "random")) {
                cost.setBaseline(seed, name, tallies.get(name).cost() / best);
                margin.setBaseline(seed, name, tallies.get(name).worstQualityMargin());
            }
        });
        final String scenario = "cost " + deployment.region();
        return List.of(
                cost.row(scenario, "cost relative to always best", "at most 0.4", value -> value <= 0.4),
                margin.row(scenario, "worst organisation's quality less its need", "at least 0", value -> value >= 0));
    }

    private static BenchRow sessions(RoutingDeployment deployment) {
        final Samples moves = new Samples(SEEDS);
        IntStream.range(0, SEEDS).parallel().forEach(seed -> {
            final SessionExperiment experiment = new SessionExperiment(deployment, seed);
            experiment.run();
            moves.setValue(seed, experiment.versionChangesWithoutCause());
            moves.setBaseline(seed, "choice without binding", experiment.versionChangesWithoutBinding());
            moves.setBaseline(seed, "moves with cause", experiment.versionChangesWithCause());
        });
        return moves.row("sessions " + deployment.region(), "session moves without cause", "0", value -> value == 0);
    }

    private static List<BenchRow> prefix(RoutingDeployment deployment) {
        final Samples hits = new Samples(SEEDS);
        final Samples latency = new Samples(SEEDS);
        IntStream.range(0, SEEDS).parallel().forEach(seed -> {
            final double random = runUpstreams(deployment, UpstreamExperiment.Policy.RANDOM, true, seed)
                    .hitShare();
            for (final UpstreamExperiment.Policy policy : UpstreamExperiment.Policy.values()) {
                final UpstreamExperiment.Result result = runUpstreams(deployment, policy, true, seed);
                if (policy == UpstreamExperiment.Policy.ROUTED) {
                    hits.setValue(seed, result.hitShare() / random);
                    hits.setBaseline(seed, "routed hit share", result.hitShare());
                    latency.setValue(seed, result.p99Millis());
                } else {
                    hits.setBaseline(seed, policy.label(), result.hitShare() / random);
                    latency.setBaseline(seed, policy.label(), result.p99Millis());
                }
            }
        });
        final String scenario = "prefix " + deployment.region();
        return List.of(
                hits.row(scenario, "prefix-cache hits relative to random", "at least 3", value -> value >= 3),
                latency.row(
                        scenario,
                        "p99 latency in ms",
                        "at most least outstanding",
                        value -> value <= latency.baselineMedian("least outstanding")));
    }

    private static BenchRow herding(RoutingDeployment deployment) {
        final Samples latency = new Samples(SEEDS);
        IntStream.range(0, SEEDS).parallel().forEach(seed -> {
            for (final UpstreamExperiment.Policy policy : UpstreamExperiment.Policy.values()) {
                final double millis = runUpstreams(deployment, policy, false, seed).p99Millis();
                if (policy == UpstreamExperiment.Policy.ROUTED) {
                    latency.setValue(seed, millis);
                } else {
                    latency.setBaseline(seed, policy.label(), millis);
                }
            }
        });
        final double target = Math.min(latency.baselineMedian("least outstanding"), latency.baselineMedian("round robin"));
        return latency.row(
                "herding, reports 2 s old, " + deployment.region(),
                "p99 latency in ms",
                "at most least outstanding and round robin",
                value -> value <= target);
    }

    private static UpstreamExperiment.Result runUpstreams(
            RoutingDeployment deployment, UpstreamExperiment.Policy policy, boolean prefixed, int seed) {
        return new UpstreamExperiment(
                        new UpstreamExperiment.Setup(deployment, policy, prefixed, prefixed ? 1_000 : 2_000, 0.85),
                        seed)
                .run();
    }

    private static BenchRow decisionTime(RoutingDeployment deployment, String name, double usable) {
        final Samples time = new Samples(SEEDS);
        for (int seed = 0; seed < SEEDS; seed++) {
            final DecisionTimeExperiment experiment = new DecisionTimeExperiment(deployment, CANDIDATES, usable, seed);
            time.setValue(seed, experiment.p99Micros());
            time.setBaseline(seed, "least outstanding", experiment.leastOutstandingP99Micros());
        }
        return time.row(
                name + " " + deployment.region(),
                "p99 in microseconds with 500 candidates",
                "under 50",
                value -> value < 50);
    }
}
