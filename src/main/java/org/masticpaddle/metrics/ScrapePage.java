package org.masticpaddle.metrics;

import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.sdk.metrics.data.DoublePointData;
import io.opentelemetry.sdk.metrics.data.HistogramPointData;
import io.opentelemetry.sdk.metrics.data.LongPointData;
import io.opentelemetry.sdk.metrics.data.MetricData;

/** Renders collected metrics in the text format of scrapers. Thread-safe, having no state. */
final class ScrapePage {
    private ScrapePage() {}

    static String render(Collection<MetricData> metrics) {
        final StringBuilder page = new StringBuilder();
        metrics.forEach(metric -> append(page, metric));
        return page.toString();
    }

    private static void append(StringBuilder page, MetricData metric) {
        final String name = metric.getName().replace('.', '_');
        switch (metric.getType()) {
            case LONG_SUM -> {
                page.append("# TYPE ").append(name).append("_total counter\n");
                for (final LongPointData point : metric.getLongSumData().getPoints()) {
                    line(page, name + "_total", point.getAttributes(), "", point.getValue());
                }
            }
            case LONG_GAUGE -> {
                page.append("# TYPE ").append(name).append(" gauge\n");
                for (final LongPointData point : metric.getLongGaugeData().getPoints()) {
                    line(page, name, point.getAttributes(), "", point.getValue());
                }
            }
            case DOUBLE_GAUGE -> {
                page.append("# TYPE ").append(name).append(" gauge\n");
                for (final DoublePointData point : metric.getDoubleGaugeData().getPoints()) {
                    line(page, name, point.getAttributes(), "", point.getValue());
                }
            }
            case HISTOGRAM -> {
                page.append("# TYPE ").append(name).append(" histogram\n");
                metric.getHistogramData().getPoints().forEach(point -> histogram(page, name, point));
            }
            default -> {
                // Other types are not recorded by this program.
            }
        }
    }

    private static void histogram(StringBuilder page, String name, HistogramPointData point) {
        final List<Double> bounds = point.getBoundaries();
        long count = 0;
        for (int index = 0; index < point.getCounts().size(); index++) {
            count += point.getCounts().get(index);
            final String bound = index < bounds.size() ? bounds.get(index).toString() : "+Inf";
            line(page, name + "_bucket", point.getAttributes(), "le=\"" + bound + "\"", count);
        }
        line(page, name + "_sum", point.getAttributes(), "", point.getSum());
        line(page, name + "_count", point.getAttributes(), "", point.getCount());
    }

    private static void line(StringBuilder page, String name, Attributes attributes, String extra, Number value) {
        final String labels = attributes.asMap().entrySet().stream()
                .map(entry -> entry.getKey().getKey().replace('.', '_') + "=\"" + escape(entry.getValue()) + "\"")
                .collect(Collectors.joining(","));
        final String all = labels.isEmpty() || extra.isEmpty() ? labels + extra : labels + "," + extra;
        page.append(name);
        if (!all.isEmpty()) {
            page.append('{').append(all).append('}');
        }
        page.append(' ')
                .append(
                        value instanceof Long
                                ? value.toString()
                                : String.format(Locale.ROOT, "%.9g", value.doubleValue()))
                .append('\n');
    }

    private static String escape(Object value) {
        return value.toString().replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }
}
