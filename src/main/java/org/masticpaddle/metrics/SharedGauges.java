package org.masticpaddle.metrics;

import java.util.List;
import java.util.function.LongSupplier;

import org.masticpaddle.billing.ChargeWriter;
import org.masticpaddle.document.ConfigurationService;
import org.masticpaddle.document.EffectiveConfiguration;

/** Gauges that entries and sidecars have in common. Thread-safe, having no state. */
public final class SharedGauges {
    private SharedGauges() {}

    /**
     * Creates the gauges of the routing document and of the charges.
     *
     * @param configuration source of the routing document in effect
     * @param charges writer whose pending and dropped charges are counted
     * @param clock wall-clock time in milliseconds since 1970
     * @return gauges that read the current values
     */
    public static List<Gauge> of(ConfigurationService configuration, ChargeWriter charges, LongSupplier clock) {
        return List.of(
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
                Gauge.of("charges.waiting", "charges that wait for an append", charges::pendingCount),
                Gauge.of("charges.dropped", "charges dropped since the start", charges::droppedCount));
    }
}
