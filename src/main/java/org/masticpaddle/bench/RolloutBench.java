package org.masticpaddle.bench;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import org.masticpaddle.wire.Json;

/** Measures exposures to bad versions and false alarms of roll-outs and prints a JSON row for each figure. */
public final class RolloutBench {
    private static final int SEEDS = 11;
    private static final int ROLLOUTS = 1_000;
    private static final int ENTRIES = 4;
    private static final RolloutExperiment.Rates GOOD_RATES = new RolloutExperiment.Rates(0.9, 0.01, 0.05);
    /** Requests a second of a worker, at 85% of what its slots serve. */
    private static final double REQUESTS_PER_SECOND_PER_WORKER = 4.5;

    private RolloutBench() {}

    /**
     * Runs all scenarios.
     *
     * @param arguments none
     */
    public static void main(String[] arguments) {
        run(row -> System.out.println(new String(Json.encode(row), StandardCharsets.UTF_8)));
    }

    /**
     * Runs all scenarios for both deployments.
     *
     * @param rows receives each row when it is measured
     */
    public static void run(Consumer<BenchRow> rows) {
        for (final RoutingDeployment deployment : RoutingDeployment.ALL) {
            badVersionRates().forEach((name, rates) -> rows.accept(exposure(deployment, name, rates)));
            rows.accept(falseAlarms(deployment));
        }
    }

    private static Map<String, RolloutExperiment.Rates> badVersionRates() {
        final Map<String, RolloutExperiment.Rates> faults = new LinkedHashMap<>();
        faults.put("quality 0.9 to 0.5", new RolloutExperiment.Rates(0.5, 0.01, 0.05));
        faults.put("quality 0.9 to 0.7", new RolloutExperiment.Rates(0.7, 0.01, 0.05));
        faults.put("errors 0.01 to 0.2", new RolloutExperiment.Rates(0.9, 0.2, 0.05));
        faults.put("slow 0.05 to 0.5", new RolloutExperiment.Rates(0.9, 0.01, 0.5));
        return faults;
    }

    private static BenchRow exposure(RoutingDeployment deployment, String fault, RolloutExperiment.Rates rates) {
        final Samples samples = new Samples(SEEDS);
        IntStream.range(0, SEEDS).parallel().forEach(seed -> {
            final RolloutExperiment.Result result =
                    experiment(deployment, rates, seed, ENTRIES).run(500, 3_600_000);
            // A bad version that is not found counts as reaching all requests of the fixed stage.
            samples.setValue(seed, result.haltedEverywhere() ? result.exposedRequests() / (double) result.fixedStageRequests() : 1);
            samples.setBaseline(seed, "fixed stage, requests", result.fixedStageRequests());
            samples.setBaseline(seed, "roll-out, requests", result.exposedRequests());
        });
        final BenchRow row = samples.row(
                "bad version, " + fault + ", " + deployment.region(),
                "requests reaching it relative to a fixed stage",
                "median at most 0.05",
                value -> true);
        return new BenchRow(
                row.scenario(),
                row.measure(),
                row.target(),
                row.value(),
                row.spread(),
                row.baselines(),
                samples.median() <= 0.05);
    }

    private static BenchRow falseAlarms(RoutingDeployment deployment) {
        final boolean[] alarms = new boolean[ROLLOUTS];
        final boolean[] complete = new boolean[ROLLOUTS];
        IntStream.range(0, ROLLOUTS).parallel().forEach(seed -> {
            final RolloutExperiment.Result result =
                    experiment(deployment, GOOD_RATES, 10_000 + seed, 2).run(5_000, 10_800_000);
            alarms[seed] = result.haltedAnywhere();
            complete[seed] = result.complete();
        });
        final Samples samples = new Samples(5);
        final int part = ROLLOUTS / 5;
        for (int index = 0; index < 5; index++) {
            samples.setValue(index, share(Arrays.copyOfRange(alarms, index * part, (index + 1) * part)));
            samples.setBaseline(index, "completed", share(Arrays.copyOfRange(complete, index * part, (index + 1) * part)));
        }
        final BenchRow row = samples.row(
                "good version, " + ROLLOUTS + " roll-outs, " + deployment.region(),
                "false alarms, as a part of the roll-outs",
                "under 0.01",
                value -> true);
        return new BenchRow(
                row.scenario(),
                row.measure(),
                row.target(),
                share(alarms),
                row.spread(),
                row.baselines(),
                share(alarms) < 0.01);
    }

    private static double share(boolean[] flags) {
        int count = 0;
        for (final boolean flag : flags) {
            count += flag ? 1 : 0;
        }
        return count / (double) flags.length;
    }

    private static RolloutExperiment experiment(
            RoutingDeployment deployment, RolloutExperiment.Rates rates, long seed, int entries) {
        return new RolloutExperiment(
                deployment.workers() * REQUESTS_PER_SECOND_PER_WORKER, GOOD_RATES, rates, entries, seed + 100_000L * deployment.workers());
    }
}
