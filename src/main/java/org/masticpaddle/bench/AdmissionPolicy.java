package org.masticpaddle.bench;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

import org.masticpaddle.admission.RunningStream;
import org.masticpaddle.admission.WaitingRequest;
import org.masticpaddle.wire.LoadReport;

/** What a simulated entry decides; implemented by the real classes and by the baselines. */
interface AdmissionPolicy {
    /** Takes or refuses a request; a refused one is never returned by {@link #next}. */
    void offer(WaitingRequest request, long now);

    Optional<WaitingRequest> next(long now, int inFlight);

    void finished(WaitingRequest request, long tokens, long nanos, long now);

    /** Chooses streams to cancel now; the rest of their work is offered again. */
    List<RunningStream> preempt(Collection<RunningStream> running, int inFlight, long now);

    /** Whether {@link #preempt} could choose a stream, asked first because listing the streams is slow. */
    boolean wantsPreemption(long now);

    void report(String sidecar, LoadReport load, int inFlight, long now);
}
