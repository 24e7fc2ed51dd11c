package org.masticpaddle.bench;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.LongStream;

/** Measures the admission classes in virtual time against a fake pool, for both deployments. Thread-safe. */
public final class AdmissionBench {
    private static final int SEEDS = 5;

    private AdmissionBench() {}

    /**
     * Prints the rows, and exits with 1 if a target is missed.
     *
     * @param arguments number of seeds, 5 if absent
     */
    public static void main(String[] arguments) {
        final int seeds = arguments.length > 0 ? Integer.parseInt(arguments[0]) : SEEDS;
        final List<BenchRow> rows = measure(seeds);
        print(rows, System.out);
        System.exit(rows.stream().allMatch(BenchRow::met) ? 0 : 1);
    }

    /**
     * Runs all scenarios for both deployments.
     *
     * @param seeds number of seeds, counted from 1
     * @return one row for each deployment and measure
     */
    public static List<BenchRow> measure(int seeds) {
        final List<BenchRow> rows = new ArrayList<>();
        for (final AdmissionDeployment deployment : AdmissionDeployment.values()) {
            for (final AdmissionScenario scenario : AdmissionScenario.values()) {
                rows.add(row(deployment, scenario, seeds));
            }
        }
        return rows;
    }

    private static BenchRow row(AdmissionDeployment deployment, AdmissionScenario scenario, int seeds) {
        final double[] values = values(deployment, scenario, seeds, MasticpaddlePolicy::new);
        final Map<String, Double> baselines = new LinkedHashMap<>();
        baselines.put(
                "fifo", median(values(deployment, scenario, seeds, () -> QueueBaseline.firstInFirstOut(deployment))));
        baselines.put(
                "strict", median(values(deployment, scenario, seeds, () -> QueueBaseline.strictPriority(deployment))));
        final double value = median(values);
        return new BenchRow(
                deployment.label() + " " + scenario.scenario(),
                scenario.measureName(),
                scenario.targetText(),
                value,
                values[values.length - 1] - values[0],
                baselines,
                scenario.met(value));
    }

    private static double[] values(
            AdmissionDeployment deployment, AdmissionScenario scenario, int seeds, Supplier<AdmissionPolicy> policy) {
        final double[] values = LongStream.rangeClosed(1, seeds)
                .parallel()
                .mapToDouble(seed -> {
                    final Function<List<LoadSource>, AdmissionOutcome> run =
                            sources -> AdmissionSimulation.run(deployment, policy.get(), sources, seed);
                    return scenario.measure(run);
                })
                .toArray();
        Arrays.sort(values);
        return values;
    }

    private static double median(double[] sorted) {
        final int middle = sorted.length / 2;
        return sorted.length % 2 == 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
    }

    private static void print(List<BenchRow> rows, PrintStream out) {
        for (final BenchRow row : rows) {
            out.printf(
                    "%-32s %-56s target %s value %7.3f spread %6.3f fifo %7.3f strict %7.3f %s%n",
                    row.scenario(),
                    row.measure(),
                    row.target(),
                    row.value(),
                    row.spread(),
                    row.baselines().get("fifo"),
                    row.baselines().get("strict"),
                    row.met() ? "met" : "MISSED");
        }
    }
}
