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

/** Measures all cost laws, and writes points, plots and the table of the capacity page. Used by one thread. */
public final class ScaleBench {
    private static final int WIDTH = 480;
    private static final int HEIGHT = 300;

    private final Path directory;
    private final PrintStream progress;

    /**
     * Creates the bench.
     *
     * @param directory receives {@code points.csv}, {@code table.md} and a plot for each law
     * @param progress receives a line for each law
     */
    public ScaleBench(Path directory, PrintStream progress) {
        this.directory = directory;
        this.progress = progress;
    }

    /**
     * Measures and writes.
     *
     * @return measurements by name
     */
    public Map<String, CostBenchmark.Result> run() {
        final Map<String, CostBenchmark.Result> measured = new LinkedHashMap<>();
        for (final CostBenchmark mechanism : CostBenchmarks.all()) {
            final CostBenchmark.Result one = mechanism.measure();
            measured.put(mechanism.name(), one);
            progress.printf(
                    Locale.ROOT,
                    "  %-22s %12.4f %s for each of %s, fit %.3f%n",
                    mechanism.name(),
                    one.fit().slope(),
                    mechanism.unit(),
                    mechanism.input(),
                    one.fit().rSquared());
        }
        try {
            Files.createDirectories(directory);
            Files.writeString(directory.resolve("points.csv"), points(measured), StandardCharsets.UTF_8);
            Files.writeString(
                    directory.resolve("table.md"),
                    slopes(measured) + "\n" + new CapacityTable(measured, TargetSize.PLANNED).render(),
                    StandardCharsets.UTF_8);
            for (final CostBenchmark.Result one : measured.values()) {
                plot(one);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return measured;
    }

    private static String points(Map<String, CostBenchmark.Result> measured) {
        final StringBuilder text = new StringBuilder("mechanism,input,size,unit,value\n");
        measured.values()
                .forEach(one -> one.points()
                        .forEach(point -> text.append(String.format(
                                Locale.ROOT,
                                "%s,%s,%.0f,%s,%.3f%n",
                                one.benchmark().name(),
                                one.benchmark().input(),
                                point.input(),
                                one.benchmark().unit(),
                                point.value()))));
        return text.toString();
    }

    private static String slopes(Map<String, CostBenchmark.Result> measured) {
        final StringBuilder text = new StringBuilder(
                "| law | for each | unit | slope | at 0 | fit | plot |\n| --- | --- | --- | --- | --- | --- | --- |\n");
        measured.values()
                .forEach(one -> text.append(String.format(
                        Locale.ROOT,
                        "| %s | %s | %s | %.4f | %.2f | %.3f | [plot](capacity/%s.png) |%n",
                        one.benchmark().name(),
                        one.benchmark().input(),
                        one.benchmark().unit(),
                        one.fit().slope(),
                        one.fit().intercept(),
                        one.fit().rSquared(),
                        one.benchmark().name())));
        return text.toString();
    }

    private void plot(CostBenchmark.Result one) throws IOException {
        final List<Double> sizes = one.points().stream().map(LinearFit.Point::input).toList();
        final XYChart chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(one.benchmark().name())
                .xAxisTitle(one.benchmark().input())
                .yAxisTitle(one.benchmark().unit())
                .build();
        chart.addSeries(
                "measured", sizes, one.points().stream().map(LinearFit.Point::value).toList());
        chart.addSeries(
                "line", sizes, sizes.stream().map(size -> one.fit().at(size)).toList());
        BitmapEncoder.saveBitmap(
                chart, directory.resolve(one.benchmark().name()).toString(), BitmapEncoder.BitmapFormat.PNG);
    }
}
