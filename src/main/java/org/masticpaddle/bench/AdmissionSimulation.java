package org.masticpaddle.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apache.commons.rng.simple.RandomSource;
import org.masticpaddle.admission.RunningStream;
import org.masticpaddle.admission.WaitingRequest;
import org.masticpaddle.wire.LoadReport;

/** Drives one policy against a fake pool in virtual time. */
final class AdmissionSimulation {
    /** Interval and age of load reports. */
    private static final long REPORT_INTERVAL_NANOS = 100_000_000L;

    /** Prefill of the prompt and of the tokens produced before. */
    private static final long RESUME_PREFILL_NANOS = 200_000_000L;

    private final AdmissionDeployment deployment;
    private final Map<Long, Integer> preemptionCounts = new HashMap<>();
    private final FakePool pool;
    private final AdmissionPolicy policy;
    private final Map<Long, SimulatedRequest> outstanding = new HashMap<>();
    private final AdmissionOutcome outcome = new AdmissionOutcome();
    private List<LoadReport> previousReports;

    private AdmissionSimulation(AdmissionDeployment deployment, AdmissionPolicy policy) {
        this.deployment = deployment;
        this.pool = new FakePool(deployment);
        this.policy = policy;
        this.previousReports = pool.loadReports();
    }

    static AdmissionOutcome run(
            AdmissionDeployment deployment, AdmissionPolicy policy, List<LoadSource> sources, long seed) {
        final List<SimulatedRequest> load = new ArrayList<>();
        for (int index = 0; index < sources.size(); index++) {
            final LoadSource source = sources.get(index);
            // The seed depends on the name, so a source sends the same requests with and without the others.
            source.generate(
                    deployment,
                    RandomSource.XO_RO_SHI_RO_128_PP.create(
                            seed * 31 + source.name().hashCode()),
                    (index + 1) * 100_000_000L,
                    load);
        }
        load.sort(Comparator.comparingLong(work -> work.request().arrivalNanos()));
        return new AdmissionSimulation(deployment, policy).simulate(load);
    }

    private AdmissionOutcome simulate(List<SimulatedRequest> load) {
        int next = 0;
        long report = 0;
        while (next < load.size()) {
            final long arrival = load.get(next).request().arrivalNanos();
            final long now = Math.min(arrival, Math.min(pool.nextCompletionNanos(), report));
            if (now == report) {
                deliverReports(now);
                report += REPORT_INTERVAL_NANOS;
            } else if (now == arrival) {
                final SimulatedRequest work = load.get(next++);
                outstanding.put(work.request().id(), work);
                outcome.recordArrival(work);
                policy.offer(work.request(), now);
            } else {
                complete(pool.completeFirst(), now);
            }
            dispatchWaiting(now);
            preempt(now);
        }
        return outcome.close();
    }

    private void deliverReports(long now) {
        for (int worker = 0; worker < previousReports.size(); worker++) {
            policy.recordLoadReport("sidecar-" + worker, previousReports.get(worker), pool.inFlight(), now);
        }
        previousReports = pool.loadReports();
    }

    private void complete(FakePool.Attempt attempt, long now) {
        final SimulatedRequest work =
                outstanding.remove(attempt.simulated().request().id());
        final long tokens = attempt.simulated().tokens();
        policy.recordCompletion(attempt.simulated().request(), tokens, now - attempt.dispatchedNanos(), now);
        outcome.recordAnswer(work, now);
    }

    private void dispatchWaiting(long now) {
        Optional<WaitingRequest> request = policy.dispatchNext(now, pool.inFlight());
        while (request.isPresent()) {
            pool.dispatch(outstanding.get(request.get().id()), now);
            request = policy.dispatchNext(now, pool.inFlight());
        }
    }

    private void preempt(long now) {
        if (!policy.mayPreempt(now)) {
            return;
        }
        final List<RunningStream> streams = new ArrayList<>();
        for (final FakePool.Attempt attempt : pool.running()) {
            final long left = toTokens(attempt.endNanos() - now);
            final int before = preemptionCounts.getOrDefault(attempt.simulated().request().id(), 0);
            streams.add(new RunningStream(
                    attempt.simulated().request(), Math.max(0, attempt.simulated().tokens() - left), true, before));
        }
        for (final RunningStream stream : policy.selectVictims(streams, pool.inFlight(), now)) {
            pool.cancel(stream.request().id(), now).ifPresent(attempt -> requeue(attempt, now));
        }
        dispatchWaiting(now);
    }

    private void requeue(FakePool.Attempt attempt, long now) {
        final SimulatedRequest work = attempt.simulated();
        final WaitingRequest request = work.request();
        final long left = attempt.endNanos() - now;
        final long done = Math.max(0, work.tokens() - toTokens(left));
        preemptionCounts.merge(request.id(), 1, Integer::sum);
        policy.recordCompletion(request, done, now - attempt.dispatchedNanos(), now);
        outcome.recordPreemption(work, done, now);
        final long expected = Math.max(1, request.expectedTokens() - done);
        final WaitingRequest rest = request.resumed(
                expected, (long) (request.expectedRunNanos() * (expected / (double) request.expectedTokens())));
        outstanding.put(
                request.id(), new SimulatedRequest(work.source(), rest, work.tokens() - done, left + RESUME_PREFILL_NANOS));
        policy.offer(rest, now);
    }

    private long toTokens(long nanos) {
        return (long) Math.ceil(nanos / deployment.nanosPerToken());
    }
}
