package org.masticpaddle.gateway;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

import org.masticpaddle.metrics.Gauge;

/** Counters of a gateway since its start. Thread-safe. */
public final class GatewayCounters {
    private final Map<Counter, LongAdder> counts = new EnumMap<>(Counter.class);

    /** Creates counters at zero. */
    public GatewayCounters() {
        for (final Counter counter : Counter.values()) {
            counts.put(counter, new LongAdder());
        }
    }

    void add(Counter counter) {
        counts.get(counter).increment();
    }

    void add(Counter counter, long amount) {
        counts.get(counter).add(amount);
    }

    long value(Counter counter) {
        return counts.get(counter).sum();
    }

    /**
     * Lists the counters as gauges, which read their values only when they are scraped.
     *
     * @return one gauge for each counter, named {@code gateway.} and its label
     */
    public List<Gauge> gauges() {
        return counts.entrySet().stream()
                .map(entry -> Gauge.of(
                        "gateway." + entry.getKey().label(),
                        entry.getKey().description(),
                        () -> entry.getValue().sum()))
                .toList();
    }

    /** Events that are counted. */
    enum Counter {
        RECEIVED("received", "requests received"),
        ANSWERED("answered", "answers relayed whole"),
        REFUSED("refused", "requests refused that have not run"),
        FAILED("failed", "requests that failed and may have run"),
        CANCELLED("cancelled", "requests whose caller left"),
        SENT("sent", "requests sent to upstreams"),
        RETRIED("retried", "requests sent once more after a failure"),
        RESUMED("resumed", "streams that went on at another upstream"),
        ESCALATED("escalated", "drafts dropped for a larger model"),
        BUDGET_EMPTY("retry_budget_empty", "retries that the budget did not allow"),
        QUARANTINED("quarantined", "requests ended because a segment of their prompt may crash upstreams"),
        WAITED("admission_waited", "requests that waited since their service was under pressure"),
        WAITED_MILLIS("admission_waited_ms", "time that these requests waited, in milliseconds"),
        REJECTED_LATE("admission_rejected_late", "requests rejected since their answers would have started too late"),
        REJECTED_ABOVE_SHARE(
                "admission_rejected_above_share",
                "requests rejected since their organisations were above their shares under pressure"),
        UNREADABLE_VALUES("unreadable_values", "values in upstreams' responses that could not be read"),
        ANSWERS_DROPPED("answers_dropped", "answers of upstreams dropped since the memory for answers was used up"),
        STORE_CALLS("store_calls", "calls to the shared log"),
        STORE_FAILURES("store_failures", "calls to the shared log that failed");

        private final String label;
        private final String description;

        Counter(String label, String description) {
            this.label = label;
            this.description = description;
        }

        String label() {
            return label;
        }

        String description() {
            return description;
        }
    }
}
