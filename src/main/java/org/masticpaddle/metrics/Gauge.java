package org.masticpaddle.metrics;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

/**
 * A figure of a process that goes up and down, read whenever metrics are collected. Immutable.
 *
 * @param name name without the prefix {@code masticpaddle.}
 * @param description what it measures, with its unit
 * @param readings current values, called on any thread
 */
public record Gauge(String name, String description, Supplier<List<Reading>> readings) {
    /** Checks the arguments. */
    public Gauge {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(description, "description is null");
        Objects.requireNonNull(readings, "readings is null");
    }

    /**
     * Creates a gauge with one value.
     *
     * @param name name without the prefix
     * @param description what it measures, with its unit
     * @param value current value; a negative one stands for "not known" and is left out
     * @return the gauge
     */
    public static Gauge of(String name, String description, DoubleSupplier value) {
        return new Gauge(name, description, () -> {
            final double now = value.getAsDouble();
            return now < 0 ? List.of() : List.of(new Reading(now, Map.of()));
        });
    }

    /**
     * One value.
     *
     * @param value the value
     * @param labels what it belongs to
     */
    public record Reading(double value, Map<String, String> labels) {
        /** Copies the labels. */
        public Reading {
            labels = Map.copyOf(labels);
        }
    }
}
