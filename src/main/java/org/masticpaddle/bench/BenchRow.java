package org.masticpaddle.bench;

import java.util.Map;
import java.util.Objects;

/**
 * One measured figure against its target. Immutable and thread-safe.
 *
 * @param scenario name of the scenario
 * @param measure name of the measure
 * @param target value to reach in words, an upper or a lower bound
 * @param value median over the seeds or repeats
 * @param spread largest minus smallest value over the seeds or repeats
 * @param baselines median of each baseline in the same run, by the name of the baseline
 * @param met whether the value reaches the target
 */
public record BenchRow(
        String scenario,
        String measure,
        String target,
        double value,
        double spread,
        Map<String, Double> baselines,
        boolean met) {
    /** Checks the arguments and copies the map. */
    public BenchRow {
        Objects.requireNonNull(scenario, "scenario is null");
        Objects.requireNonNull(measure, "measure is null");
        Objects.requireNonNull(target, "target is null");
        baselines = Map.copyOf(baselines);
    }
}
