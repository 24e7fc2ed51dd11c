package org.masticpaddle.metrics;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

/**
 * Metric whose value can go up and down, read whenever metrics are collected. Immutable.
 *
 * @param name name of the metric without the prefix {@code masticpaddle.}
 * @param description measured quantity with its unit
 * @param readings supplies the current values; must be callable from any thread
 */
public record Gauge(String name, String description, Supplier<List<Reading>> readings) {
    /** Rejects {@code null}. */
    public Gauge {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(description, "description is null");
        Objects.requireNonNull(readings, "readings is null");
    }

    /**
     * Creates a gauge with a single, unlabelled value.
     *
     * @param name name of the metric without the prefix {@code masticpaddle.}
     * @param description measured quantity with its unit
     * @param value supplies the current value; a negative value means that it is unknown, and no reading is reported
     * @return gauge with one reading, or with none while the value is unknown
     */
    public static Gauge of(String name, String description, DoubleSupplier value) {
        return new Gauge(name, description, () -> {
            final double current = value.getAsDouble();
            return current < 0 ? List.of() : List.of(new Reading(current, Map.of()));
        });
    }

    /**
     * Current value of one time series. Immutable.
     *
     * @param value measured value
     * @param labels label names and values that identify the time series
     */
    public record Reading(double value, Map<String, String> labels) {
        /** Makes a defensive copy of the labels. */
        public Reading {
            labels = Map.copyOf(labels);
        }
    }
}
