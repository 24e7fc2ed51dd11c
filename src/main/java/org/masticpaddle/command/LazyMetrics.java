package org.masticpaddle.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import org.masticpaddle.metrics.Gauge;
import org.masticpaddle.metrics.ProcessMetrics;
import org.masticpaddle.settings.ProcessSettings;
import org.masticpaddle.settings.Setting;

/** Metrics that load their library at the first scrape, so that it does not delay the start. Thread-safe. */
final class LazyMetrics {
    private final ProcessSettings settings;
    private final List<Gauge> gauges = new ArrayList<>();
    private ProcessMetrics metrics;

    LazyMetrics(ProcessSettings settings) {
        this.settings = Objects.requireNonNull(settings, "settings is null");
    }

    synchronized void register(List<Gauge> more) {
        gauges.addAll(more);
    }

    synchronized String page() {
        if (metrics == null) {
            metrics = ProcessMetrics.create(
                    settings.text(Setting.INSTANCE), settings.text(Setting.ROLE), settings.origin(Setting.OTLP));
            metrics.register(gauges);
        }
        return metrics.renderScrapePage();
    }
}
