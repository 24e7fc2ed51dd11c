package org.masticpaddle.metrics;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Stream;

/**
 * Histogram of the time by which periodic work is late, exported as gauges with cumulative buckets, so that nothing of the metrics
 * library is loaded before the first scrape.
 *
 * <p>Invariant: the counts of the buckets do not decrease with their bounds, apart from values that are recorded while the counts
 * are read. Values are recorded by one thread and read by any.
 */
public final class LagHistogram {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final List<Long> BOUNDS_MILLIS =
            List.of(1L, 5L, 10L, 25L, 50L, 100L, 250L, 500L, 1_000L, 2_500L, 5_000L);

    private final String name;
    private final long intervalNanos;
    private final List<LongAdder> counts =
            Stream.generate(LongAdder::new).limit(BOUNDS_MILLIS.size() + 1).toList();
    private final LongAdder sumNanos = new LongAdder();
    private long dueNanos;
    private boolean started;

    /**
     * Creates a histogram without values.
     *
     * @param name name of the metric without the prefix {@code masticpaddle.}
     * @param intervalNanos interval of the periodic work in nanoseconds
     */
    public LagHistogram(String name, long intervalNanos) {
        this.name = Objects.requireNonNull(name, "name is null");
        this.intervalNanos = intervalNanos;
    }

    /**
     * Records by how much the periodic work is later than the interval since the previous call; the first call records nothing.
     *
     * @param nowNanos time at which the work runs, in nanoseconds
     */
    public void tick(long nowNanos) {
        if (started) {
            final long lagNanos = Math.max(0, nowNanos - dueNanos);
            int bucket = 0;
            while (bucket < BOUNDS_MILLIS.size() && lagNanos > BOUNDS_MILLIS.get(bucket) * NANOS_PER_MILLI) {
                bucket++;
            }
            counts.get(bucket).increment();
            sumNanos.add(lagNanos);
        }
        started = true;
        dueNanos = nowNanos + intervalNanos;
    }

    /**
     * Lists the parts of the histogram: buckets labelled {@code le} with their upper bound in seconds, sum in seconds and count.
     *
     * @return gauges that read the current values
     */
    public List<Gauge> gauges() {
        return List.of(
                new Gauge(
                        name + "_bucket",
                        "times at which periodic work was at most so many seconds late",
                        this::buckets),
                Gauge.of(name + "_sum", "total lag in seconds", () -> sumNanos.sum() / NANOS_PER_SECOND),
                Gauge.of(name + "_count", "times at which periodic work ran", this::count));
    }

    private double count() {
        return counts.stream().mapToLong(LongAdder::sum).sum();
    }

    private List<Gauge.Reading> buckets() {
        final List<Gauge.Reading> readings = new ArrayList<>();
        long cumulative = 0;
        for (int bucket = 0; bucket < counts.size(); bucket++) {
            cumulative += counts.get(bucket).sum();
            final String bound =
                    bucket < BOUNDS_MILLIS.size() ? Double.toString(BOUNDS_MILLIS.get(bucket) / 1e3) : "+Inf";
            readings.add(new Gauge.Reading(cumulative, Map.of("le", bound)));
        }
        return readings;
    }
}
