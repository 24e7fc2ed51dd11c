package org.masticpaddle.bench;

import java.util.Map;
import java.util.Objects;

/**
 * One measured figure against its target. Immutable and thread-safe.
 *
 * @param scenario name of the scenario
 * @param measure name of the measure
 * @param target value to reach, an upper or lower bound as the measure says
 * @param value median over the seeds
 * @param spread largest less smallest value over the seeds
 * @param baselines median of each baseline in the same run, by its name
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
