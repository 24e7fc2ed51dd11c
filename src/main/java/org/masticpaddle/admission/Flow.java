package org.masticpaddle.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Flow of a start-time fair queue: the waiting requests of one organisation in one rank and pool, with the start tag of
 * the next request. Not thread-safe.
 */
final class Flow {
    private static final Comparator<WaitingRequest> ARRIVAL_ORDER = Comparator.comparingLong(
                    WaitingRequest::arrivalNanos)
            .thenComparingLong(WaitingRequest::deadlineNanos)
            .thenComparingLong(WaitingRequest::id);

    private final Map<String, TreeSet<WaitingRequest>> requestsByVersion = new HashMap<>();
    private double weight;
    private double startTag;
    private double activationStartTag;
    private long queuedTokens;
    private int size;
    private int running;
    private long backloggedSinceNanos;

    void add(WaitingRequest request, double virtualTime, long now) {
        if (size == 0) {
            backloggedSinceNanos = now;
            // An idle organisation resumes at the current virtual time, so that it earns no credit while idle.
            startTag = Math.max(startTag, virtualTime);
            activationStartTag = startTag;
        }
        weight = request.weight();
        requestsByVersion
                .computeIfAbsent(request.version(), version -> new TreeSet<>(ARRIVAL_ORDER))
                .add(request);
        queuedTokens += request.expectedTokens();
        size++;
    }

    void remove(WaitingRequest request) {
        final TreeSet<WaitingRequest> queue = requestsByVersion.get(request.version());
        queue.remove(request);
        if (queue.isEmpty()) {
            requestsByVersion.remove(request.version());
        }
        queuedTokens -= request.expectedTokens();
        size--;
    }

    /** Returns the oldest request whose version can take one more request. */
    Optional<WaitingRequest> firstDispatchable(DispatchCapacity capacity) {
        WaitingRequest oldest = null;
        for (final TreeSet<WaitingRequest> queue : requestsByVersion.values()) {
            final WaitingRequest head = queue.first();
            if ((oldest == null || ARRIVAL_ORDER.compare(head, oldest) < 0)
                    && capacity.hasCapacity(head.pool(), head.version(), head.rank())) {
                oldest = head;
            }
        }
        return Optional.ofNullable(oldest);
    }

    WaitingRequest newest() {
        return requestsByVersion.values().stream()
                .map(TreeSet::last)
                .max(ARRIVAL_ORDER)
                .orElseThrow(() -> new IllegalStateException("flow is empty"));
    }

    long oldestArrivalNanos() {
        return requestsByVersion.values().stream()
                .mapToLong(queue -> queue.first().arrivalNanos())
                .min()
                .orElseThrow(() -> new IllegalStateException("flow is empty"));
    }

    void dispatch(WaitingRequest request) {
        remove(request);
        startTag += request.expectedTokens() / weight;
        running++;
    }

    void complete(double tokens) {
        // A refund lowers the start tag at most to its value at the end of the last idle period, because resuming from
        // idle has already cancelled earlier charges.
        startTag = Math.max(activationStartTag, startTag + tokens / weight);
        running--;
    }

    void raiseStartTag(double minStartTag) {
        startTag = Math.max(startTag, minStartTag);
    }

    double startTag() {
        return startTag;
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

    boolean isBackloggedFor(long now, long nanos) {
        return size > 0 && now - backloggedSinceNanos >= nanos;
    }

    boolean isRemovable(double virtualTime) {
        return size == 0 && running == 0 && startTag <= virtualTime;
    }
}
