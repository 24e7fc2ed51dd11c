package org.masticpaddle.metrics;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against a lag of the event loop that is not counted, or counted in the wrong bucket. */
class LagHistogramTest {
    private static final long INTERVAL_NANOS = 100_000_000;

    private final LagHistogram histogram = new LagHistogram("lag", INTERVAL_NANOS);

    @Test
    void shouldCountEachTickAfterTheFirstInTheBucketsFromItsLagOn() {
        long nowNanos = 7;
        histogram.tick(nowNanos);
        for (final long lagNanos : List.of(0L, 1_000_000L, 1_000_001L, 700_000_000L, 60_000_000_000L)) {
            nowNanos += INTERVAL_NANOS + lagNanos;
            histogram.tick(nowNanos);
        }
        final Map<String, Double> buckets = readings("lag_bucket").stream()
                .collect(Collectors.toMap(reading -> reading.labels().get("le"), Gauge.Reading::value));
        assertThat(buckets)
                .containsAtLeast("0.001", 2.0, "0.005", 3.0, "0.5", 3.0, "1.0", 4.0, "5.0", 4.0, "+Inf", 5.0);
        assertThat(readings("lag_count").get(0).value()).isEqualTo(5.0);
        assertThat(readings("lag_sum").get(0).value()).isWithin(1e-6).of(60.702);
    }

    @Test
    void shouldNotCountWorkThatRunsEarly() {
        histogram.tick(0);
        histogram.tick(INTERVAL_NANOS / 2);
        assertThat(readings("lag_sum").get(0).value()).isEqualTo(0.0);
    }

    private List<Gauge.Reading> readings(String name) {
        return histogram.gauges().stream()
                .filter(gauge -> gauge.name().equals(name))
                .flatMap(gauge -> gauge.readings().get().stream())
                .toList();
    }
}
