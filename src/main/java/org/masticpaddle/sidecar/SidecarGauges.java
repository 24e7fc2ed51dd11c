package org.masticpaddle.sidecar;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

import org.masticpaddle.billing.ChargeWriter;
import org.masticpaddle.document.ConfigurationService;
import org.masticpaddle.metrics.Gauge;
import org.masticpaddle.metrics.SharedGauges;

/** Gauges of a sidecar. Thread-safe, having no state. */
final class SidecarGauges {
    private SidecarGauges() {}

    static List<Gauge> of(ConfigurationService configuration, ChargeWriter charges, LoadTracker load, LongSupplier clock) {
        final List<Gauge> all = new ArrayList<>(List.of(
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
                        () -> load.report().slots())));
        all.addAll(SharedGauges.of(configuration, charges, clock));
        return List.copyOf(all);
    }
}
