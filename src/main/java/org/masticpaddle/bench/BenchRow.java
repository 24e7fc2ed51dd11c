package org.masticpaddle.bench;

/**
 * One measured figure with its target and baselines. Immutable.
 *
 * @param scenario scenario and deployment
 * @param measure what was measured
 * @param target target in words
 * @param value median over the seeds
 * @param spread largest less smallest value over the seeds
 * @param baselines medians of the baselines by name, from the same run
 * @param met whether the target is met
 */
public record BenchRow(
        String scenario,
        String measure,
        String target,
        double value,
        double spread,
        java.util.Map<String, Double> baselines,
        boolean met) {}
