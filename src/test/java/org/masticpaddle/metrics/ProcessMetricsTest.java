package org.masticpaddle.metrics;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against gauges that show a stale or invented value. */
class ProcessMetricsTest {
    private double age = -1;

    @Test
    void shouldShowTheCurrentReadingsOfRegisteredGauges() {
        final ProcessMetrics metrics = ProcessMetrics.create("entry-0", "entry", Optional.empty());
        metrics.register(List.of(
                Gauge.of("log.read_age", "seconds", () -> age),
                new Gauge(
                        "queue.length",
                        "requests",
                        () -> List.of(new Gauge.Reading(3, Map.of("rank", "urgent", "service", "s"))))));
        assertThat(metrics.renderScrapePage()).doesNotContain("log_read_age");
        age = 2;
        assertThat(metrics.renderScrapePage()).contains("masticpaddle_log_read_age 2");
        assertThat(metrics.renderScrapePage()).contains("masticpaddle_queue_length{rank=\"urgent\",service=\"s\"} 3");
        age = 4;
        assertThat(metrics.renderScrapePage()).contains("masticpaddle_log_read_age 4");
    }
}
