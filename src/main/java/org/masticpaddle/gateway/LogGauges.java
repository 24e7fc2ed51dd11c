package org.masticpaddle.gateway;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;

import org.masticpaddle.control.StreamHealth;
import org.masticpaddle.metrics.Gauge;

/**
 * Gauges of the configuration in force and of the streams that a gateway follows from its start to its end. Immutable; the suppliers
 * may be called by any thread.
 */
final class LogGauges {
    /** Stands for a value that is not known yet; such readings are not reported. */
    private static final double UNKNOWN = -1;

    private static final double NANOS_PER_SECOND = 1e9;

    private final GatewayState state;
    private final Supplier<Stream<StreamHealth>> streams;
    private final LongSupplier nanos;

    LogGauges(GatewayState state, Supplier<Stream<StreamHealth>> streams, LongSupplier nanos) {
        this.state = Objects.requireNonNull(state, "state is null");
        this.streams = Objects.requireNonNull(streams, "streams is null");
        this.nanos = Objects.requireNonNull(nanos, "nanos is null");
    }

    /** Returns the gauges, which read their values only when they are scraped. */
    List<Gauge> gauges() {
        return List.of(
                Gauge.of(
                        "gateway.configuration_version",
                        "version of the configuration in force",
                        () -> state.table()
                                .map(table -> (double) table.version())
                                .orElse(UNKNOWN)),
                Gauge.of(
                        "gateway.configuration_offset",
                        "offset of the record that holds the configuration in force",
                        () -> state.tablePosition()
                                .map(position -> (double) position.offset())
                                .orElse(UNKNOWN)),
                Gauge.of(
                        "gateway.configuration_age_seconds",
                        "time since the log confirmed that the configuration is current",
                        () -> state.confirmedAgeMillis(nanos.getAsLong()).orElse(-1) / 1e3),
                byStream(
                        "gateway.stream_position",
                        "offset of the next record of a stream",
                        health -> orUnknown(health.position())),
                byStream("gateway.stream_era", "era of the log that a stream was read from", StreamHealth::era),
                byStream(
                        "gateway.stream_restores",
                        "times that the log came back from a copy since the start",
                        StreamHealth::restores),
                byStream(
                        "gateway.stream_response_age_seconds",
                        "time since the last usable response about a stream",
                        health -> secondsSince(health.lastResponseNanos(), UNKNOWN)),
                byStream(
                        "gateway.stream_outage_seconds",
                        "time since requests about a stream fail, 0 while they succeed",
                        health -> secondsSince(health.outageStartNanos(), 0)));
    }

    private Gauge byStream(String name, String description, ToDoubleFunction<StreamHealth> value) {
        return new Gauge(
                name,
                description,
                () -> streams.get()
                        .filter(health -> value.applyAsDouble(health) >= 0)
                        .map(health -> new Gauge.Reading(
                                value.applyAsDouble(health),
                                Map.of("stream", health.stream().name().toLowerCase(Locale.ROOT))))
                        .toList());
    }

    private double secondsSince(OptionalLong start, double otherwise) {
        return start.isPresent() ? Math.max(0, nanos.getAsLong() - start.getAsLong()) / NANOS_PER_SECOND : otherwise;
    }

    private static double orUnknown(OptionalLong value) {
        return value.isPresent() ? value.getAsLong() : UNKNOWN;
    }
}
