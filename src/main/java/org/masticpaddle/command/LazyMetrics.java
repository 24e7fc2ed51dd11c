package org.masticpaddle.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import org.masticpaddle.metrics.Gauge;
import org.masticpaddle.metrics.ProcessMetrics;
import org.masticpaddle.settings.ProcessSettings;
import org.masticpaddle.settings.Setting;

/** Process metrics that load the metrics library at the first scrape, to keep the start fast. Thread-safe. */
final class LazyMetrics {
    private final ProcessSettings settings;
    private final List<Gauge> gauges = new ArrayList<>();
    private ProcessMetrics metrics;

    LazyMetrics(ProcessSettings settings) {
        this.settings = Objects.requireNonNull(settings, "settings is null");
    }

    /** Adds gauges. Only those added before the first scrape are exported. */
    synchronized void register(List<Gauge> additional) {
        gauges.addAll(additional);
    }

    /** Returns the page for a scrape; the first call creates the metrics. */
    synchronized String page() {
        if (metrics == null) {
            metrics = ProcessMetrics.create(
                    settings.text(Setting.INSTANCE), settings.text(Setting.ROLE), settings.origin(Setting.OTLP));
            metrics.register(gauges);
        }
        return metrics.renderScrapePage();
    }
}
