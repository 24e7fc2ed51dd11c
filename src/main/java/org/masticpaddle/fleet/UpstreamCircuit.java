package org.masticpaddle.fleet;

import java.util.Optional;

/**
 * Circuit breaker of one upstream, which opens after failures and when the upstream asks for a pause.
 *
 * <p>Invariants: while the circuit is open the upstream gets no request; after that it gets one probe at a time until a response
 * closes the circuit. No response ends the pause that an upstream asked for before its time. A probe that ends without a result makes room for the next one. Not thread-safe: confined to the thread of
 * its owner.
 */
final class UpstreamCircuit {
    /** Time for which the circuit opens at the first failure; doubled at each further consecutive failure. */
    private static final long INITIAL_OPEN_NANOS = 300_000_000L;
    /** Longest time for which the circuit opens, within which a recovered upstream gets requests again. */
    private static final long MAX_OPEN_NANOS = 2_400_000_000L;
    /** Number of consecutive failures that certain evidence counts for. */
    private static final int CERTAIN_FAILURES = 3;
    /** Number of doublings after which the open time has reached its maximum. */
    private static final int MAX_DOUBLINGS = 6;

    private boolean closed = true;
    private long openUntilNanos;
    private boolean pushedBack;
    private long notBeforeNanos;
    private int consecutiveFailures;
    private Optional<InFlightRequest> probe = Optional.empty();

    /** Records a request that is being sent. It is the probe if the circuit is not closed. */
    void onSent(InFlightRequest request) {
        if (recovering()) {
            probe = Optional.of(request);
        }
    }

    /** Records that a request has ended. */
    void onEnded(InFlightRequest request) {
        if (probe.equals(Optional.of(request))) {
            probe = Optional.empty();
        }
    }

    /** Records a successful answer, which closes the circuit. */
    void onSuccess(long now) {
        consecutiveFailures = 0;
        onResponse(now);
    }

    /** Records a response that is no answer. The upstream is reachable, so the circuit closes. */
    void onResponse(long now) {
        closed = true;
        if (now >= notBeforeNanos) {
            pushedBack = false;
        }
        if (!pushedBack) {
            probe = Optional.empty();
        }
    }

    /**
     * Keeps all requests from the upstream until a time, since it asked for that; then it is probed before it gets more.
     *
     * @return whether this is later than before
     */
    boolean pushBack(long untilNanos) {
        final boolean later = !pushedBack || untilNanos > notBeforeNanos;
        notBeforeNanos = later ? untilNanos : notBeforeNanos;
        pushedBack = true;
        return later;
    }

    /** Returns whether the next request probes the upstream. */
    boolean recovering() {
        return !closed || pushedBack;
    }

    /** Returns whether the upstream has asked for no request now. */
    boolean pushedBack(long now) {
        return pushedBack && now < notBeforeNanos;
    }

    /** Returns the time from which the upstream accepts requests again, if it has pushed back. */
    long notBeforeNanos() {
        return notBeforeNanos;
    }

    /** Records a request without a response and opens the circuit. */
    void onUnreachable(long now) {
        final long openNanos =
                Math.min(MAX_OPEN_NANOS, INITIAL_OPEN_NANOS << Math.min(consecutiveFailures, MAX_DOUBLINGS));
        consecutiveFailures++;
        closed = false;
        probe = Optional.empty();
        openUntilNanos = now + openNanos;
    }

    /** Opens the circuit for at least the time after a third consecutive failure. */
    void trip(long now) {
        consecutiveFailures = Math.max(consecutiveFailures, CERTAIN_FAILURES - 1);
        onUnreachable(now);
    }

    /** Returns whether the failures so far are no chance: the upstream has ended, cannot be reached or starts again. */
    boolean certainlyFailed() {
        return consecutiveFailures >= CERTAIN_FAILURES;
    }

    /** Returns whether the circuit keeps all requests from the upstream now. */
    boolean open(long now) {
        return !closed && now < openUntilNanos;
    }

    /** Returns whether the upstream has to respond to a probe before it gets another request. */
    boolean probing() {
        return recovering() && probe.isPresent();
    }

    /** Forgets all failures, since another incarnation has started. */
    void reset() {
        consecutiveFailures = 0;
        closed = true;
        pushedBack = false;
        probe = Optional.empty();
    }
}
