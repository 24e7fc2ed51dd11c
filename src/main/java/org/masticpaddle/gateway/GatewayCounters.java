package org.masticpaddle.gateway;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

import org.masticpaddle.fleet.Availability;
import org.masticpaddle.metrics.Gauge;
import org.masticpaddle.routing.DraftDecision;

/** Counters of a gateway since its start. Thread-safe. */
public final class GatewayCounters {
    /** Work factor from which an upstream counts as slow. */
    private static final double SLOW_WORK_FACTOR = 1.5;

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

    /** Counts a request sent to an upstream whose work is expected to take the given factor of the usual time. */
    void addSent(double workFactor) {
        add(Counter.SENT);
        if (workFactor >= SLOW_WORK_FACTOR) {
            add(Counter.SENT_SLOW);
        }
    }

    /** Counts a request that was taken back from the upstream chosen for it before it was sent. */
    void addWithdrawn(Availability reason) {
        if (reason == Availability.DOMAIN_EVACUATED) {
            add(Counter.EVACUATED_MOVED);
        }
    }

    /** Counts a doubtful draft that is delivered for lack of room or time. */
    void addDraftKept(DraftDecision reason) {
        add(
                switch (reason) {
                    case RESERVED -> Counter.DRAFTS_RESERVED;
                    case TOO_LATE -> Counter.DRAFTS_TOO_LATE;
                    case NO_RETRY -> Counter.DRAFTS_NO_RETRY;
                    case SUFFICIENT, ESCALATED ->
                        throw new IllegalArgumentException("the draft is not constrained: " + reason);
                });
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
        SENT_SLOW("sent_slow", "requests sent to upstreams whose work is expected to take 1.5 times as long as usual"),
        RETRIED("retried", "requests sent once more after a failure"),
        RESUMED("resumed", "streams that went on at another upstream"),
        ESCALATED("escalated", "doubtful drafts in place of which a larger model was asked"),
        DRAFTS_RESERVED("drafts_reserved", "doubtful drafts delivered to leave the largest model to urgent requests"),
        DRAFTS_TOO_LATE("drafts_too_late", "doubtful drafts delivered as the largest model would answer too late"),
        DRAFTS_NO_RETRY("drafts_no_retry", "doubtful drafts delivered as the retry budget was used up"),
        DRAFTS_RECOVERED("drafts_recovered", "held drafts delivered as the larger model gave no answer in time"),
        BUDGET_EMPTY("retry_budget_empty", "retries that the budget did not allow"),
        QUARANTINED("quarantined", "requests ended because a segment of their prompt may crash upstreams"),
        EVACUATED_MOVED("evacuated_moved", "requests moved as the failure domain chosen for them was evacuated"),
        EVACUATED_UNSERVED("evacuated_unserved", "requests ended as all upstreams stood in evacuated failure domains"),
        COLD_PERIODS("cold_periods", "times at which an upstream was found to be cold"),
        SENT_COLD("sent_cold", "requests sent to cold upstreams"),
        UNREADABLE_VALUES("unreadable_values", "values in upstreams' responses that could not be read"),
        ANSWERS_DROPPED("answers_dropped", "answers of upstreams dropped since the memory for answers was used up"),
        ANSWERS_GIVEN_UP("answers_given_up", "answers cut off since their callers did not take them"),
        REFUSED_FOR_MEMORY(
                "refused_for_memory", "requests refused since no memory for their bodies became free in time"),
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
