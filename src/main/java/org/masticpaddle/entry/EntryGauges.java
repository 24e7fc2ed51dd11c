package org.masticpaddle.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

import org.masticpaddle.admission.AdmissionQueue;
import org.masticpaddle.billing.ChargeWriter;
import org.masticpaddle.document.ConfigurationService;
import org.masticpaddle.metrics.Gauge;
import org.masticpaddle.metrics.SharedGauges;
import org.masticpaddle.wire.Rank;

/** Gauges of an entry. The entry's duty updates the readings, any thread collects them. Thread-safe. */
final class EntryGauges {
    private volatile List<Gauge.Reading> queued = List.of();
    private volatile List<Gauge.Reading> inFlight = List.of();
    private volatile List<Gauge.Reading> limits = List.of();

    /** Updates the readings; called on the entry's duty. */
    void update(AdmissionQueue queue, Upstreams upstreams) {
        final List<Gauge.Reading> queuedReadings = new ArrayList<>();
        final List<Gauge.Reading> inFlightReadings = new ArrayList<>();
        final List<Gauge.Reading> limitReadings = new ArrayList<>();
        for (final String service : upstreams.services()) {
            for (final Rank rank : Rank.values()) {
                queuedReadings.add(new Gauge.Reading(
                        queue.waiting(service, rank), Map.of("service", service, "rank", rank.label())));
            }
            inFlightReadings.add(new Gauge.Reading(upstreams.inFlight(service), Map.of("service", service)));
            limitReadings.add(
                    new Gauge.Reading(upstreams.concurrencyLimiter(service).limit(), Map.of("service", service)));
        }
        queued = queuedReadings;
        inFlight = inFlightReadings;
        limits = limitReadings;
    }

    /** Returns all gauges of the process, including those that are common to all processes. */
    List<Gauge> all(ConfigurationService configuration, ChargeWriter charges, LongSupplier clock) {
        final List<Gauge> all = new ArrayList<>(List.of(
                new Gauge("queue.length", "requests that wait, by service and rank", () -> queued),
                new Gauge("requests.in_flight", "requests dispatched and not ended, by service", () -> inFlight),
                new Gauge("requests.bound", "requests in flight above which others wait, by service", () -> limits)));
        all.addAll(SharedGauges.of(configuration, charges, clock));
        return List.copyOf(all);
    }
}
