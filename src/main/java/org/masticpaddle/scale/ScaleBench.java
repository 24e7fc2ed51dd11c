package org.masticpaddle.scale;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/** Runs all cost benchmarks and writes their points, plots and the tables of the capacity page. Not thread-safe. */
public final class ScaleBench {
    private static final int PLOT_WIDTH_PIXELS = 480;
    private static final int PLOT_HEIGHT_PIXELS = 300;

    private final Path directory;
    private final PrintStream progress;

    /**
     * Creates a run of the benchmarks.
     *
     * @param directory directory to which {@code points.csv}, {@code table.md} and a plot of each benchmark are written
     * @param progress receives one line for each benchmark
     */
    public ScaleBench(Path directory, PrintStream progress) {
        this.directory = directory;
        this.progress = progress;
    }

    /**
     * Runs the benchmarks and writes the files.
     *
     * @return results by the name of the benchmark, in the order in which they ran
     * @throws UncheckedIOException if a file cannot be written
     */
    public Map<String, CostBenchmark.Result> run() {
        final Map<String, CostBenchmark.Result> results = new LinkedHashMap<>();
        for (final CostBenchmark benchmark : CostBenchmarks.all()) {
            final CostBenchmark.Result result = benchmark.measure();
            results.put(benchmark.name(), result);
            progress.printf(
                    Locale.ROOT,
                    "  %-22s %12.4f %s for each of %s, fit %.3f%n",
                    benchmark.name(),
                    result.fit().slope(),
                    benchmark.unit(),
                    benchmark.input(),
                    result.fit().rSquared());
        }
        try {
            Files.createDirectories(directory);
            Files.writeString(directory.resolve("points.csv"), pointsCsv(results), StandardCharsets.UTF_8);
            Files.writeString(
                    directory.resolve("table.md"),
                    fitsTable(results) + "\n" + new CapacityTable(results, TargetSize.PLANNED).render(),
                    StandardCharsets.UTF_8);
            for (final CostBenchmark.Result result : results.values()) {
                plot(result);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return results;
    }

    private static String pointsCsv(Map<String, CostBenchmark.Result> results) {
        final StringBuilder text = new StringBuilder("mechanism,input,size,unit,value\n");
        results.values()
                .forEach(result -> result.points()
                        .forEach(point -> text.append(String.format(
                                Locale.ROOT,
                                "%s,%s,%.0f,%s,%.3f%n",
                                result.benchmark().name(),
                                result.benchmark().input(),
                                point.input(),
                                result.benchmark().unit(),
                                point.value()))));
        return text.toString();
    }

    private static String fitsTable(Map<String, CostBenchmark.Result> results) {
        final StringBuilder text = new StringBuilder(
                "| law | for each | unit | slope | at 0 | fit | plot |\n| --- | --- | --- | --- | --- | --- | --- |\n");
        results.values()
                .forEach(result -> text.append(String.format(
                        Locale.ROOT,
                        "| %s | %s | %s | %.4f | %.2f | %.3f | [plot](capacity/%s.png) |%n",
                        result.benchmark().name(),
                        result.benchmark().input(),
                        result.benchmark().unit(),
                        result.fit().slope(),
                        result.fit().intercept(),
                        result.fit().rSquared(),
                        result.benchmark().name())));
        return text.toString();
    }

    private void plot(CostBenchmark.Result result) throws IOException {
        final List<Double> sizes =
                result.points().stream().map(LinearFit.Point::input).toList();
        final XYChart chart = new XYChartBuilder()
                .width(PLOT_WIDTH_PIXELS)
                .height(PLOT_HEIGHT_PIXELS)
                .title(result.benchmark().name())
                .xAxisTitle(result.benchmark().input())
                .yAxisTitle(result.benchmark().unit())
                .build();
        chart.addSeries(
                "measured",
                sizes,
                result.points().stream().map(LinearFit.Point::value).toList());
        chart.addSeries(
                "line", sizes, sizes.stream().map(size -> result.fit().at(size)).toList());
        BitmapEncoder.saveBitmap(
                chart, directory.resolve(result.benchmark().name()).toString(), BitmapEncoder.BitmapFormat.PNG);
    }
}
