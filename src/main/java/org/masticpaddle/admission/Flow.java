package org.masticpaddle.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/** Waiting requests of one organisation in one rank and pool, with its virtual start time. Not thread-safe. */
final class Flow {
    private static final Comparator<WaitingRequest> ORDER = Comparator.comparingLong(WaitingRequest::arrivalNanos)
            .thenComparingLong(WaitingRequest::deadlineNanos)
            .thenComparingLong(WaitingRequest::id);

    private final Map<String, TreeSet<WaitingRequest>> byVersion = new HashMap<>();
    private double weight;
    private double start;
    private double activeSince;
    private long queuedTokens;
    private int size;
    private int running;
    private long busySince;

    void add(WaitingRequest request, double virtualTime, long now) {
        if (size == 0) {
            busySince = now;
            // An idle organisation resumes at the current virtual time, so idle time earns nothing.
            start = Math.max(start, virtualTime);
            activeSince = start;
        }
        weight = request.weight();
        byVersion
                .computeIfAbsent(request.version(), version -> new TreeSet<>(ORDER))
                .add(request);
        queuedTokens += request.expectedTokens();
        size++;
    }

    void remove(WaitingRequest request) {
        final TreeSet<WaitingRequest> lane = byVersion.get(request.version());
        lane.remove(request);
        if (lane.isEmpty()) {
            byVersion.remove(request.version());
        }
        queuedTokens -= request.expectedTokens();
        size--;
    }

    /** Finds the oldest request whose version has a free place. */
    Optional<WaitingRequest> first(DispatchCapacity availability) {
        WaitingRequest best = null;
        for (final TreeSet<WaitingRequest> lane : byVersion.values()) {
            final WaitingRequest head = lane.first();
            if ((best == null || ORDER.compare(head, best) < 0)
                    && availability.hasCapacity(head.pool(), head.version(), head.rank())) {
                best = head;
            }
        }
        return Optional.ofNullable(best);
    }

    WaitingRequest newest() {
        return byVersion.values().stream()
                .map(TreeSet::last)
                .max(ORDER)
                .orElseThrow(() -> new IllegalStateException("flow is empty"));
    }

    long oldestArrival() {
        return byVersion.values().stream()
                .mapToLong(lane -> lane.first().arrivalNanos())
                .min()
                .orElseThrow(() -> new IllegalStateException("flow is empty"));
    }

    void dispatch(WaitingRequest request) {
        remove(request);
        start += request.expectedTokens() / weight;
        running++;
    }

    void settle(double tokens) {
        // A refund never reaches back before the last idle period, whose charge was already forgiven.
        start = Math.max(activeSince, start + tokens / weight);
        running--;
    }

    void raise(double least) {
        start = Math.max(start, least);
    }

    double start() {
        return start;
    }

    double weight() {
        return weight;
    }

    long queuedTokens() {
        return queuedTokens;
    }

    int size() {
        return size;
    }

    boolean busy(long now, long nanos) {
        return size > 0 && now - busySince >= nanos;
    }

    boolean forgettable(double virtualTime) {
        return size == 0 && running == 0 && start <= virtualTime;
    }
}
