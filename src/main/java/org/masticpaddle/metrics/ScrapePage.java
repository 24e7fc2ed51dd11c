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

/** Renders collected metrics in the Prometheus text exposition format. Thread-safe, having no state. */
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
                    appendSample(page, name + "_total", point.getAttributes(), "", point.getValue());
                }
            }
            case LONG_GAUGE -> {
                page.append("# TYPE ").append(name).append(" gauge\n");
                for (final LongPointData point : metric.getLongGaugeData().getPoints()) {
                    appendSample(page, name, point.getAttributes(), "", point.getValue());
                }
            }
            case DOUBLE_GAUGE -> {
                page.append("# TYPE ").append(name).append(" gauge\n");
                for (final DoublePointData point : metric.getDoubleGaugeData().getPoints()) {
                    appendSample(page, name, point.getAttributes(), "", point.getValue());
                }
            }
            case HISTOGRAM -> {
                page.append("# TYPE ").append(name).append(" histogram\n");
                metric.getHistogramData().getPoints().forEach(point -> appendHistogram(page, name, point));
            }
            default -> {
                // ProcessMetrics records no other types.
            }
        }
    }

    private static void appendHistogram(StringBuilder page, String name, HistogramPointData point) {
        final List<Double> upperBounds = point.getBoundaries();
        long cumulativeCount = 0;
        for (int index = 0; index < point.getCounts().size(); index++) {
            cumulativeCount += point.getCounts().get(index);
            final String upperBound =
                    index < upperBounds.size() ? upperBounds.get(index).toString() : "+Inf";
            appendSample(page, name + "_bucket", point.getAttributes(), "le=\"" + upperBound + "\"", cumulativeCount);
        }
        appendSample(page, name + "_sum", point.getAttributes(), "", point.getSum());
        appendSample(page, name + "_count", point.getAttributes(), "", point.getCount());
    }

    private static void appendSample(
            StringBuilder page, String name, Attributes attributes, String extraLabel, Number value) {
        final String labels = attributes.asMap().entrySet().stream()
                .map(entry -> entry.getKey().getKey().replace('.', '_') + "=\"" + escape(entry.getValue()) + "\"")
                .collect(Collectors.joining(","));
        final String allLabels =
                labels.isEmpty() || extraLabel.isEmpty() ? labels + extraLabel : labels + "," + extraLabel;
        page.append(name);
        if (!allLabels.isEmpty()) {
            page.append('{').append(allLabels).append('}');
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
