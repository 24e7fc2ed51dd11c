package org.masticpaddle.scale;

import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.function.IntFunction;

/**
 * Benchmark of a cost that grows linearly with the size of one input. Immutable.
 *
 * @param name name of the benchmark and of its plot
 * @param input name of the things that the size counts, for example {@code organisations}
 * @param unit unit of the cost
 * @param sizes input sizes at which the cost is measured
 * @param probe measures the cost at an input size
 */
public record CostBenchmark(String name, String input, String unit, List<Integer> sizes, IntFunction<Double> probe) {
    private static final int REPETITIONS = 5;

    /** Validates the arguments and copies the sizes. */
    public CostBenchmark {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(probe, "probe is null");
        sizes = List.copyOf(sizes);
    }

    /**
     * Measures the cost at every size, after a warm-up round over all sizes. A point is the median of five measurements.
     *
     * @return the points and the line through them
     */
    public Result measure() {
        sizes.forEach(probe::apply);
        final List<LinearFit.Point> points = sizes.stream()
                .map(size -> new LinearFit.Point(size, median(size)))
                .toList();
        return new Result(this, points, LinearFit.of(points));
    }

    private double median(int size) {
        final double[] values = new double[REPETITIONS];
        for (int index = 0; index < REPETITIONS; index++) {
            values[index] = probe.apply(size);
        }
        Arrays.sort(values);
        return values[REPETITIONS / 2];
    }

    /**
     * Result of a benchmark. Immutable.
     *
     * @param benchmark benchmark that was run
     * @param points median cost at each size
     * @param fit line through the points
     */
    public record Result(CostBenchmark benchmark, List<LinearFit.Point> points, LinearFit fit) {
        /** Copies the points. */
        public Result {
            points = List.copyOf(points);
        }
    }
}
