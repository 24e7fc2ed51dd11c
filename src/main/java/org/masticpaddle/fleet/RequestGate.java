package org.masticpaddle.fleet;

import java.util.Optional;
import java.util.OptionalDouble;

/**
 * What limits the requests of one gateway to one upstream: the circuit and the pauses that the upstream asks for, the limit that it
 * states, its coldness, and its pace after a start or recovery.
 *
 * <p>Invariants: {@link #availability} is the only place that weighs these limits against each other; each request that is sent
 * counts against all of them. Not thread-safe: confined to the thread of its owner.
 */
final class RequestGate {
    private final UpstreamCircuit circuit = new UpstreamCircuit();
    private final ColdAllowance cold = new ColdAllowance();
    private final PaceWindow pace = new PaceWindow();
    private OptionalDouble statedLimit = OptionalDouble.empty();
    private Optional<RequestPacer> pacer = Optional.empty();

    /** Forgets what concerns an earlier incarnation of the upstream only. */
    void reset() {
        circuit.reset();
        setLimit(OptionalDouble.empty());
    }

    /** Records that the present incarnation has just started. */
    void recordStart(long now) {
        cold.recordStart(now);
        pace.begin(now);
    }

    /** Records a request that is being sent. It is the probe if the circuit is not closed. */
    void onSent(InFlightRequest request, long now) {
        circuit.onSent(request);
        pacer.ifPresent(each -> each.take(now));
        cold.take(now);
    }

    /** Records that a request has ended. */
    void onEnded(InFlightRequest request) {
        circuit.onEnded(request);
    }

    /** Records a successful answer, which closes the circuit. */
    void onSuccess(double expectedMillis, double actualMillis, int inFlight, long now) {
        closeCircuit(() -> circuit.onSuccess(now), inFlight, now);
        pace.onAnswer(expectedMillis, actualMillis, now);
    }

    /** Records an error response. The upstream is reachable, so the circuit closes. */
    void onErrorResponse(int inFlight, long now) {
        onNotRun(inFlight, now);
        pace.onErrorResponse(now);
    }

    /** Records that the upstream answered that it did not run a request. It is reachable, so the circuit closes. */
    void onNotRun(int inFlight, long now) {
        closeCircuit(() -> circuit.onResponse(now), inFlight, now);
    }

    /** Records a response, and paces the upstream if that has closed its circuit. */
    private void closeCircuit(Runnable response, int inFlight, long now) {
        final boolean recovering = circuit.recovering();
        response.run();
        if (recovering && !circuit.recovering()) {
            pace.begin(inFlight, now);
        }
    }

    /** Records a request without a response, which opens the circuit. */
    void onUnreachable(long now) {
        pace.onFailure(now);
        circuit.onUnreachable(now);
        markColdIfLost(now);
    }

    /** Opens the circuit as a third consecutive failure does. */
    void trip(long now) {
        circuit.trip(now);
        markColdIfLost(now);
    }

    /** An upstream that was lost has probably started again when it responds, before its entry says so. */
    private void markColdIfLost(long now) {
        if (circuit.certainlyFailed()) {
            cold.recordReturn(now);
        }
    }

    /** Records the load of the upstream by all gateways. */
    void onLoad(ReportedLoad load, long now) {
        pace.onReport(load, now);
    }

    /** Records that the upstream has rejected a request. */
    void onRejected(long now) {
        pace.onFailure(now);
    }

    /** Keeps all requests from the upstream until a time; returns whether this is later than before. */
    boolean pushBack(long untilNanos) {
        return circuit.pushBack(untilNanos);
    }

    /** Sets the limit that the upstream states, empty for none; returns whether it has changed. */
    boolean setLimit(OptionalDouble requestsPerSecond) {
        final boolean changed = !statedLimit.equals(requestsPerSecond);
        statedLimit = requestsPerSecond;
        if (requestsPerSecond.isEmpty()) {
            pacer = Optional.empty();
        }
        return changed;
    }

    /** Returns the requests a second that the upstream accepts from all gateways together, empty if it states no limit. */
    OptionalDouble limit() {
        return statedLimit;
    }

    /** Sets the rate of this gateway's permits while the upstream states a limit. */
    void setPermitRate(double permitsPerSecond, double phase, long now) {
        if (pacer.isEmpty()) {
            pacer = Optional.of(new RequestPacer(permitsPerSecond, phase, now));
        } else {
            pacer.get().setRate(permitsPerSecond, now);
        }
    }

    /** Returns the rate of permits under the stated limit, 0 if there is none. */
    double permitsPerSecond() {
        return pacer.map(RequestPacer::permitsPerSecond).orElse(0.0);
    }

    /** Returns the rate of permits, those of a cold upstream included; 0 if nothing limits them. */
    double permitsPerSecond(long now) {
        if (!cold.cold(now)) {
            return permitsPerSecond();
        }
        return pacer.isEmpty() ? cold.permitsPerSecond() : Math.min(cold.permitsPerSecond(), permitsPerSecond());
    }

    /** Returns the number of requests that may be sent now, if the upstream is available. */
    int places(long now) {
        return circuit.recovering()
                ? 1
                : Math.min(pacer.map(each -> each.available(now)).orElse(Integer.MAX_VALUE), cold.permits(now));
    }

    /**
     * Returns whether another request may be sent and, if not, why.
     *
     * @param inFlight number of requests in flight from this gateway
     * @param now current time in nanoseconds
     * @return {@link Availability#AVAILABLE}, or the reason that will hold longest
     */
    Availability availability(int inFlight, long now) {
        if (circuit.pushedBack(now)) {
            return Availability.PUSHED_BACK;
        }
        if (circuit.open(now)) {
            return Availability.CIRCUIT_OPEN;
        }
        if (circuit.probing()) {
            return Availability.PROBED;
        }
        if (pacer.isPresent() && pacer.get().available(now) <= 0) {
            return Availability.NO_PERMIT;
        }
        if (cold.permits(now) <= 0) {
            return Availability.NO_COLD_PERMIT;
        }
        return pace.allows(inFlight, now) ? Availability.AVAILABLE : Availability.PACED;
    }

    /** Returns the time in nanoseconds until the pause ends that the upstream asked for, 0 if there is none. */
    long pauseNanos(long now) {
        return circuit.pushedBack(now) ? circuit.notBeforeNanos() - now : 0;
    }

    ColdAllowance cold() {
        return cold;
    }

    PaceWindow pace() {
        return pace;
    }
}
