package org.masticpaddle.report;

import java.awt.BasicStroke;
import java.awt.Color;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Date;
import java.util.List;
import java.util.TimeZone;

import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Draws the burn rates over time. Thread-safe, having no state. */
final class BurnChart {
    private static final List<Color> COLOURS =
            List.of(new Color(0xC0, 0x39, 0x2B), new Color(0x1F, 0x5F, 0xA8), new Color(0x6B, 0x6B, 0x6B));

    private BurnChart() {}

    /** Returns the bytes of a PNG image. */
    static byte[] renderPng(BurnReport report) {
        final XYChart chart = new XYChartBuilder()
                .width(960)
                .height(380)
                .title("Burn rate by rank, last six hours in steps of 5 minutes")
                .xAxisTitle("time (UTC)")
                .yAxisTitle("burn rate")
                .build();
        chart.getStyler()
                .setLegendPosition(Styler.LegendPosition.OutsideE)
                .setChartBackgroundColor(Color.WHITE)
                .setLegendBorderColor(Color.WHITE);
        chart.getStyler().setPlotGridVerticalLinesVisible(false);
        chart.getStyler().setDatePattern("HH:mm");
        chart.getStyler().setTimezone(TimeZone.getTimeZone("UTC"));
        chart.getStyler().setYAxisMin(0.0);
        for (final BurnReport.Series series : report.series()) {
            final XYSeries line = chart.addSeries(
                    series.rank().label(),
                    series.times().stream().map(Date::new).toList(),
                    series.rates());
            line.setMarkerColor(COLOURS.get(series.rank().ordinal()));
            line.setMarker(SeriesMarkers.CIRCLE)
                    .setLineColor(COLOURS.get(series.rank().ordinal()));
            line.setLineStyle(new BasicStroke(2));
        }
        final long start = report.atMillis() - BurnWindow.HOURS_6.length().toMillis();
        final XYSeries budget = chart.addSeries(
                "spends the budget", List.of(new Date(start), new Date(report.atMillis())), List.of(1.0, 1.0));
        budget.setMarker(SeriesMarkers.NONE).setLineColor(Color.BLACK);
        budget.setLineStyle(new BasicStroke(1, BasicStroke.CAP_BUTT, BasicStroke.JOIN_MITER, 1, new float[] {6, 4}, 0));
        try {
            return BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG);
        } catch (IOException e) {
            throw new UncheckedIOException("the chart cannot be drawn", e);
        }
    }
}
