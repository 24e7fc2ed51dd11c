package org.masticpaddle.bench;

import java.util.Collection;

import org.HdrHistogram.Histogram;

/** Percentiles of times. Thread-safe, having no state. */
final class Percentiles {
    private static final long MAX_RECORDABLE_MICROS = 600_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1000.0;

    private Percentiles() {}

    static double millis(Collection<Long> nanos, double percentile) {
        if (nanos.isEmpty()) {
            return Double.NaN;
        }
        final Histogram histogram = new Histogram(MAX_RECORDABLE_MICROS, SIGNIFICANT_DIGITS);
        nanos.forEach(value -> histogram.recordValue(Math.min(MAX_RECORDABLE_MICROS, Math.max(0, value / 1000))));
        return histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }
}
