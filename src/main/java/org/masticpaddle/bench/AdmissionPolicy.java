package org.masticpaddle.bench;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

import org.masticpaddle.admission.RunningStream;
import org.masticpaddle.admission.WaitingRequest;
import org.masticpaddle.wire.LoadReport;

/** What a simulated entry decides; implemented by the real classes and by the baselines. */
interface AdmissionPolicy {
    /** Takes or refuses a request; a refused one is never returned by {@link #dispatchNext}. */
    void offer(WaitingRequest request, long now);

    Optional<WaitingRequest> dispatchNext(long now, int inFlight);

    void recordCompletion(WaitingRequest request, long tokens, long nanos, long now);

    /** Chooses streams to cancel now; the rest of their work is offered again. */
    List<RunningStream> selectVictims(Collection<RunningStream> running, int inFlight, long now);

    /** Whether {@link #selectVictims} could choose a stream, asked first because listing the streams is slow. */
    boolean mayPreempt(long now);

    void recordLoadReport(String sidecar, LoadReport load, int inFlight, long now);
}
