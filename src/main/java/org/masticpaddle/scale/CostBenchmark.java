package org.masticpaddle.scale;

import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.function.IntFunction;

/**
 * One measured cost law: a quantity that grows with the size of one input. Immutable.
 *
 * @param name name, also of the plot
 * @param input what the size counts
 * @param unit unit of the value
 * @param sizes sizes that are measured
 * @param probe measures the value at a size
 */
public record CostBenchmark(String name, String input, String unit, List<Integer> sizes, IntFunction<Double> probe) {
    private static final int REPEATS = 5;

    /** Checks the arguments and copies the sizes. */
    public CostBenchmark {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(probe, "probe is null");
        sizes = List.copyOf(sizes);
    }

    /**
     * Measures every size several times and keeps the median, after a round that warms the code up.
     *
     * @return the points and their line
     */
    public Result measure() {
        sizes.forEach(probe::apply);
        final List<LinearFit.Point> points =
                sizes.stream().map(size -> new LinearFit.Point(size, median(size))).toList();
        return new Result(this, points, LinearFit.of(points));
    }

    private double median(int size) {
        final double[] values = new double[REPEATS];
        for (int index = 0; index < REPEATS; index++) {
            values[index] = probe.apply(size);
        }
        Arrays.sort(values);
        return values[REPEATS / 2];
    }

    /**
     * A mechanism with its measurements.
     *
     * @param benchmark the mechanism
     * @param points medians by size
     * @param fit line through the points
     */
    public record Result(CostBenchmark benchmark, List<LinearFit.Point> points, LinearFit fit) {
        /** Copies the points. */
        public Result {
            points = List.copyOf(points);
        }
    }
}
