package org.masticpaddle.sidecar;

import java.util.List;
import java.util.function.LongSupplier;

import org.masticpaddle.billing.ChargeWriter;
import org.masticpaddle.document.ConfigurationService;
import org.masticpaddle.document.EffectiveConfiguration;
import org.masticpaddle.metrics.Gauge;

/** Gauges of a sidecar. Thread-safe, having no state. */
final class SidecarGauges {
    private SidecarGauges() {}

    static List<Gauge> of(ConfigurationService configuration, ChargeWriter charges, LoadBook load, LongSupplier clock) {
        return List.of(
                Gauge.of(
                        "attempts.running",
                        "attempts that run",
                        () -> load.report().running()),
                Gauge.of(
                        "attempts.queued",
                        "attempts that wait for a slot",
                        () -> load.report().queued()),
                Gauge.of(
                        "attempts.slots",
                        "attempts that may run at the same time",
                        () -> load.report().slots()),
                Gauge.of(
                        "document.revision",
                        "revision of the document in effect",
                        () -> configuration
                                .effective()
                                .map(EffectiveConfiguration::revision)
                                .orElse(0L)),
                Gauge.of(
                        "document.age",
                        "seconds since the document took effect",
                        () -> configuration
                                .effective()
                                .map(current -> (clock.getAsLong() - current.sinceMillis()) / 1000.0)
                                .orElse(-1.0)),
                Gauge.of(
                        "log.read_age",
                        "seconds since the log was last read to its end",
                        () -> configuration.tailAgeMillis().orElse(-1) / 1000.0),
                Gauge.of("charges.waiting", "charges that wait for an append", charges::waiting),
                Gauge.of("charges.dropped", "charges dropped since the start", charges::dropped));
    }
}
