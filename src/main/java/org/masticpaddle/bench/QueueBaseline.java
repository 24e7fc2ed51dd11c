package org.masticpaddle.bench;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;

import org.masticpaddle.admission.RunningStream;
import org.masticpaddle.admission.WaitingRequest;
import org.masticpaddle.wire.LoadReport;

/** Baseline without fairness, floors and admission control: an unbounded queue in a fixed order. */
final class QueueBaseline implements AdmissionPolicy {
    private static final Comparator<WaitingRequest> ARRIVAL =
            Comparator.comparingLong(WaitingRequest::arrivalNanos).thenComparingLong(WaitingRequest::id);

    private final int slots;
    private final PriorityQueue<WaitingRequest> waiting;

    private QueueBaseline(int slots, Comparator<WaitingRequest> order) {
        this.slots = slots;
        this.waiting = new PriorityQueue<>(order);
    }

    static QueueBaseline firstInFirstOut(AdmissionDeployment deployment) {
        return new QueueBaseline(deployment.slots(), ARRIVAL);
    }

    static QueueBaseline strictPriority(AdmissionDeployment deployment) {
        return new QueueBaseline(
                deployment.slots(), Comparator.comparing(WaitingRequest::rank).thenComparing(ARRIVAL));
    }

    @Override
    public void offer(WaitingRequest request, long now) {
        waiting.add(request);
    }

    @Override
    public Optional<WaitingRequest> dispatchNext(long now, int inFlight) {
        return inFlight < slots ? Optional.ofNullable(waiting.poll()) : Optional.empty();
    }

    @Override
    public void recordCompletion(WaitingRequest request, long tokens, long nanos, long now) {}

    @Override
    public List<RunningStream> selectVictims(Collection<RunningStream> running, int inFlight, long now) {
        return List.of();
    }

    @Override
    public boolean mayPreempt(long now) {
        return false;
    }

    @Override
    public void recordLoadReport(String sidecar, LoadReport load, int inFlight, long now) {}
}
