package org.masticpaddle.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Start-time fair queue over the organisations of one rank in one pool. Not thread-safe. */
final class RankQueue {
    /**
     * Largest amount of service, in tokens for weight 1, that an organisation may catch up on after a missing upstream
     * blocked its requests. Without a limit, an organisation whose version was unavailable for minutes would then take
     * the whole pool.
     */
    private static final double MAX_CATCH_UP_TOKENS = 8_192;

    private final Map<String, Flow> flows = new HashMap<>();
    private double virtualTime;
    private int size;
    private long queuedTokens;

    void add(WaitingRequest request, long now) {
        final double resumeTime = resumeVirtualTime();
        flows.computeIfAbsent(request.organisation(), name -> new Flow()).add(request, resumeTime, now);
        size++;
        queuedTokens += request.expectedTokens();
    }

    void remove(WaitingRequest request) {
        final Flow flow = flows.get(request.organisation());
        flow.remove(request);
        updateAfterRemoval(request, flow);
    }

    /** Returns the oldest dispatchable request of the organisation with the lowest start tag. */
    Optional<WaitingRequest> firstDispatchable(DispatchCapacity capacity) {
        Flow bestFlow = null;
        Optional<WaitingRequest> bestRequest = Optional.empty();
        for (final Flow flow : flows.values()) {
            if (flow.size() == 0 || bestFlow != null && flow.startTag() > bestFlow.startTag()) {
                continue;
            }
            final Optional<WaitingRequest> head = flow.firstDispatchable(capacity);
            // Breaks ties by arrival, so that the order does not depend on the hash map.
            if (head.isPresent()
                    && (bestFlow == null
                            || flow.startTag() < bestFlow.startTag()
                            || arrivedBefore(head, bestRequest))) {
                bestFlow = flow;
                bestRequest = head;
            }
        }
        return bestRequest;
    }

    private static boolean arrivedBefore(Optional<WaitingRequest> left, Optional<WaitingRequest> right) {
        final WaitingRequest leftRequest = left.orElseThrow();
        final WaitingRequest rightRequest = right.orElseThrow();
        return leftRequest.arrivalNanos() != rightRequest.arrivalNanos()
                ? leftRequest.arrivalNanos() < rightRequest.arrivalNanos()
                : leftRequest.id() < rightRequest.id();
    }

    void dispatch(WaitingRequest request) {
        final Flow flow = flows.get(request.organisation());
        flow.raiseStartTag(virtualTime - MAX_CATCH_UP_TOKENS / flow.weight());
        virtualTime = Math.max(virtualTime, flow.startTag());
        flow.dispatch(request);
        updateAfterRemoval(request, flow);
    }

    private void updateAfterRemoval(WaitingRequest request, Flow flow) {
        size--;
        queuedTokens -= request.expectedTokens();
        if (size == 0) {
            // At the end of a busy period, the virtual time advances to the highest start tag, as in start-time fair
            // queueing. This cancels all debts.
            for (final Flow other : flows.values()) {
                virtualTime = Math.max(virtualTime, other.startTag());
            }
        }
        if (flow.isRemovable(virtualTime)) {
            flows.remove(request.organisation());
        }
    }

    void complete(WaitingRequest request, long tokens) {
        final Flow flow = flows.get(request.organisation());
        flow.complete(tokens - request.expectedTokens());
        if (flow.isRemovable(virtualTime)) {
            flows.remove(request.organisation());
        }
    }

    /** Returns whether the organisation has had waiting requests without a break for at least the given time. */
    boolean isBackloggedFor(String organisation, long now, long nanos) {
        final Flow flow = flows.get(organisation);
        return flow != null && flow.isBackloggedFor(now, nanos);
    }

    /**
     * Returns the virtual time at which an idle organisation resumes: the lowest start tag of the organisations with
     * waiting requests, if it is below the virtual time. A start tag falls below the virtual time when requests used
     * fewer tokens than expected; an organisation that resumed at the virtual time would have to wait until that is
     * made up.
     */
    private double resumeVirtualTime() {
        double lowest = virtualTime;
        for (final Flow flow : flows.values()) {
            if (flow.size() > 0) {
                lowest = Math.min(lowest, flow.startTag());
            }
        }
        return lowest;
    }

    /** Returns the tokens served before a new request of the organisation, if no other request arrives. */
    double tokensAhead(String organisation, double weight, long tokens) {
        final Flow ownFlow = flows.get(organisation);
        final long ownQueuedTokens = ownFlow == null ? 0 : ownFlow.queuedTokens();
        final double ownStartTag = ownFlow == null
                ? resumeVirtualTime()
                : Math.max(ownFlow.startTag(), ownFlow.size() == 0 ? resumeVirtualTime() : 0);
        // The request gets the start tag that its organisation has after its queued requests.
        final double requestStartTag = ownStartTag + ownQueuedTokens / weight;
        double tokensAhead = ownQueuedTokens;
        for (final Map.Entry<String, Flow> entry : flows.entrySet()) {
            final Flow other = entry.getValue();
            if (other != ownFlow && other.size() > 0) {
                final double tokensBeforeRequest = (requestStartTag - other.startTag()) * other.weight();
                tokensAhead += Math.max(0, Math.min(other.queuedTokens(), tokensBeforeRequest));
            }
        }
        return tokensAhead;
    }

    /**
     * Returns the virtual time at which the queued requests of the organisation and {@code extraTokens} more are
     * served.
     */
    double virtualFinishTime(String organisation, double weight, long extraTokens) {
        final Flow flow = flows.get(organisation);
        if (flow == null || flow.size() == 0) {
            return Math.max(virtualTime, flow == null ? 0 : flow.startTag()) + extraTokens / weight;
        }
        return flow.startTag() + (flow.queuedTokens() + extraTokens) / weight;
    }

    /** Returns the newest request of the organisation whose queued requests have the latest virtual finish time. */
    Optional<WaitingRequest> displacementCandidate() {
        return flows.entrySet().stream()
                .filter(entry -> entry.getValue().size() > 0)
                .max((left, right) ->
                        Double.compare(virtualFinishTime(left.getValue()), virtualFinishTime(right.getValue())))
                .map(entry -> entry.getValue().newest());
    }

    private static double virtualFinishTime(Flow flow) {
        return flow.startTag() + flow.queuedTokens() / flow.weight();
    }

    Optional<Long> oldestArrivalNanos() {
        return flows.values().stream()
                .filter(flow -> flow.size() > 0)
                .map(Flow::oldestArrivalNanos)
                .min(Long::compare);
    }

    int size() {
        return size;
    }

    long queuedTokens() {
        return queuedTokens;
    }
}
