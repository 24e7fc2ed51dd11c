package org.masticpaddle.bench;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.DoublePredicate;

/** Values of one measure and its baselines over several seeds. Thread-safe. */
final class Samples {
    private final double[] values;
    private final Map<String, double[]> baselines = new TreeMap<>();

    Samples(int seeds) {
        values = new double[seeds];
    }

    synchronized void setValue(int seed, double value) {
        values[seed] = value;
    }

    synchronized void setBaseline(int seed, String name, double value) {
        baselines.computeIfAbsent(name, absent -> new double[values.length])[seed] = value;
    }

    double median() {
        return median(values);
    }

    double baselineMedian(String name) {
        return median(baselines.get(name));
    }

    /** Builds a row whose target every seed must meet. */
    BenchRow row(String scenario, String measure, String target, DoublePredicate met) {
        final Map<String, Double> medians = new TreeMap<>();
        baselines.forEach((name, all) -> medians.put(name, round(median(all))));
        final double least = Arrays.stream(values).min().orElse(0);
        final double most = Arrays.stream(values).max().orElse(0);
        return new BenchRow(
                scenario,
                measure,
                target,
                round(median(values)),
                round(most - least),
                medians,
                Arrays.stream(values).allMatch(met));
    }

    private static double median(double[] all) {
        final double[] sorted = all.clone();
        Arrays.sort(sorted);
        final int middle = sorted.length / 2;
        return sorted.length % 2 == 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
    }

    private static double round(double value) {
        return Math.round(value * 1e4) / 1e4;
    }
}
