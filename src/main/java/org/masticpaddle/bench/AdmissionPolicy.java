package org.masticpaddle.bench;

import java.util.Optional;

import org.masticpaddle.admission.WaitingRequest;
import org.masticpaddle.wire.LoadReport;

/** What a simulated entry decides; implemented by the real classes and by the baselines. */
interface AdmissionPolicy {
    /** Takes or refuses a request; a refused one is never returned by {@link #next}. */
    void offer(WaitingRequest request, long now);

    Optional<WaitingRequest> next(long now, int inFlight);

    void finished(WaitingRequest request, long tokens, long nanos, long now);

    void report(String sidecar, LoadReport load, int inFlight, long now);
}
