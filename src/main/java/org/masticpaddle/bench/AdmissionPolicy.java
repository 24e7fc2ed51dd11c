package org.masticpaddle.bench;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

import org.masticpaddle.admission.RunningStream;
import org.masticpaddle.admission.WaitingRequest;
import org.masticpaddle.wire.LoadReport;

/**
 * Admission decisions of a simulated entry, implemented by the real classes and by the baselines. All times are in
 * nanoseconds of virtual time.
 */
interface AdmissionPolicy {
    /** Queues or rejects a request; a rejected one is never returned by {@link #dispatchNext}. */
    void offer(WaitingRequest request, long now);

    Optional<WaitingRequest> dispatchNext(long now, int inFlight);

    void recordCompletion(WaitingRequest request, long tokens, long runNanos, long now);

    /** Selects running streams to cancel now; the remainder of each is offered again as a new request. */
    List<RunningStream> selectVictims(Collection<RunningStream> running, int inFlight, long now);

    /** Reports whether {@link #selectVictims} could select a stream; called first because listing the streams is slow. */
    boolean mayPreempt(long now);

    void recordLoadReport(String sidecar, LoadReport load, int inFlight, long now);
}
