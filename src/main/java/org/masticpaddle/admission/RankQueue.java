package org.masticpaddle.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Start-time fair queue of the organisations of one rank in one pool. Not thread-safe. */
final class RankQueue {
    /**
     * Service, in tokens for weight 1, that an organisation blocked by a missing upstream may catch up on. Without a
     * bound, an organisation whose version was unavailable for minutes would then take the whole pool.
     */
    private static final double CATCH_UP_TOKENS = 8_192;

    private final Map<String, Flow> flows = new HashMap<>();
    private double virtualTime;
    private int size;
    private long queuedTokens;

    void add(WaitingRequest request, long now) {
        final double current = currentTime();
        flows.computeIfAbsent(request.organisation(), name -> new Flow()).add(request, current, now);
        size++;
        queuedTokens += request.expectedTokens();
    }

    void remove(WaitingRequest request) {
        final Flow flow = flows.get(request.organisation());
        flow.remove(request);
        removed(request, flow);
    }

    /** Finds the oldest dispatchable request of the organisation with the least weighted service. */
    Optional<WaitingRequest> first(DispatchCapacity availability) {
        Flow best = null;
        Optional<WaitingRequest> choice = Optional.empty();
        for (final Flow flow : flows.values()) {
            if (flow.size() == 0 || best != null && flow.start() > best.start()) {
                continue;
            }
            final Optional<WaitingRequest> head = flow.first(availability);
            // Equal start times are settled by arrival, so that the order does not depend on hashing.
            if (head.isPresent() && (best == null || flow.start() < best.start() || before(head, choice))) {
                best = flow;
                choice = head;
            }
        }
        return choice;
    }

    private static boolean before(Optional<WaitingRequest> left, Optional<WaitingRequest> right) {
        final WaitingRequest first = left.orElseThrow();
        final WaitingRequest second = right.orElseThrow();
        return first.arrivalNanos() != second.arrivalNanos() ? first.arrivalNanos() < second.arrivalNanos() : first.id() < second.id();
    }

    void dispatch(WaitingRequest request) {
        final Flow flow = flows.get(request.organisation());
        flow.raise(virtualTime - CATCH_UP_TOKENS / flow.weight());
        virtualTime = Math.max(virtualTime, flow.start());
        flow.dispatch(request);
        removed(request, flow);
    }

    private void removed(WaitingRequest request, Flow flow) {
        size--;
        queuedTokens -= request.expectedTokens();
        if (size == 0) {
            // The end of a busy period clears all debts, as in start-time fair queueing.
            for (final Flow each : flows.values()) {
                virtualTime = Math.max(virtualTime, each.start());
            }
        }
        if (flow.forgettable(virtualTime)) {
            flows.remove(request.organisation());
        }
    }

    void settle(WaitingRequest request, long tokens) {
        final Flow flow = flows.get(request.organisation());
        flow.settle(tokens - request.expectedTokens());
        if (flow.forgettable(virtualTime)) {
            flows.remove(request.organisation());
        }
    }

    /** Tells whether the organisation has had waiting work without a break. */
    boolean busy(String organisation, long now, long nanos) {
        final Flow flow = flows.get(organisation);
        return flow != null && flow.busy(now, nanos);
    }

    /**
     * Virtual time at which an idle organisation resumes. Requests that used fewer tokens than expected set their
     * organisation back below the virtual time; one that resumed at the virtual time would wait for all of that.
     */
    private double currentTime() {
        double least = virtualTime;
        for (final Flow flow : flows.values()) {
            if (flow.size() > 0) {
                least = Math.min(least, flow.start());
            }
        }
        return least;
    }

    /** Tokens served before a new request of the organisation, if nobody else arrives. */
    double tokensAhead(String organisation, double weight, long tokens) {
        final Flow own = flows.get(organisation);
        final long ownQueued = own == null ? 0 : own.queuedTokens();
        final double ownStart =
                own == null ? currentTime() : Math.max(own.start(), own.size() == 0 ? currentTime() : 0);
        // The request starts when the organisation's virtual time has passed its own earlier work.
        final double reached = ownStart + ownQueued / weight;
        double ahead = ownQueued;
        for (final Map.Entry<String, Flow> entry : flows.entrySet()) {
            final Flow other = entry.getValue();
            if (other != own && other.size() > 0) {
                final double due = (reached - other.start()) * other.weight();
                ahead += Math.max(0, Math.min(other.queuedTokens(), due));
            }
        }
        return ahead;
    }

    /** Virtual time by which the organisation's queued work and {@code extra} tokens would be served. */
    double backlog(String organisation, double weight, long extra) {
        final Flow flow = flows.get(organisation);
        if (flow == null || flow.size() == 0) {
            return Math.max(virtualTime, flow == null ? 0 : flow.start()) + extra / weight;
        }
        return flow.start() + (flow.queuedTokens() + extra) / weight;
    }

    /** Finds the newest request of the organisation whose queued work reaches furthest ahead of its share. */
    Optional<WaitingRequest> leastValuable() {
        return flows.entrySet().stream()
                .filter(entry -> entry.getValue().size() > 0)
                .max((left, right) -> Double.compare(reach(left.getValue()), reach(right.getValue())))
                .map(entry -> entry.getValue().newest());
    }

    private static double reach(Flow flow) {
        return flow.start() + flow.queuedTokens() / flow.weight();
    }

    Optional<Long> oldestArrival() {
        return flows.values().stream()
                .filter(flow -> flow.size() > 0)
                .map(Flow::oldestArrival)
                .min(Long::compare);
    }

    int size() {
        return size;
    }

    long queuedTokens() {
        return queuedTokens;
    }
}
