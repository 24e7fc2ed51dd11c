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

/** Discrete-event simulation of one admission policy in front of a {@link FakePool}, in virtual time. Not thread-safe. */
final class AdmissionSimulation {
    /** Time between two load reports; a report is delivered one interval after it was taken. */
    private static final long REPORT_INTERVAL_NANOS = 100_000_000L;

    /** Time for which a resumed stream prefills its prompt and the tokens that it produced before it was cancelled. */
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
        final List<SimulatedRequest> requests = new ArrayList<>();
        for (int index = 0; index < sources.size(); index++) {
            final LoadSource source = sources.get(index);
            // The seed depends on the name, so that a source sends the same requests with and without the other
            // sources.
            source.generate(
                    deployment,
                    RandomSource.XO_RO_SHI_RO_128_PP.create(
                            seed * 31 + source.name().hashCode()),
                    (index + 1) * 100_000_000L,
                    requests);
        }
        requests.sort(Comparator.comparingLong(simulated -> simulated.request().arrivalNanos()));
        return new AdmissionSimulation(deployment, policy).simulate(requests);
    }

    private AdmissionOutcome simulate(List<SimulatedRequest> requests) {
        int nextIndex = 0;
        long nextReport = 0;
        while (nextIndex < requests.size()) {
            final long nextArrival = requests.get(nextIndex).request().arrivalNanos();
            final long now = Math.min(nextArrival, Math.min(pool.nextCompletionNanos(), nextReport));
            if (now == nextReport) {
                deliverReports(now);
                nextReport += REPORT_INTERVAL_NANOS;
            } else if (now == nextArrival) {
                final SimulatedRequest simulated = requests.get(nextIndex++);
                outstanding.put(simulated.request().id(), simulated);
                outcome.recordArrival(simulated);
                policy.offer(simulated.request(), now);
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
        final SimulatedRequest simulated =
                outstanding.remove(attempt.simulated().request().id());
        final long tokens = attempt.simulated().tokens();
        policy.recordCompletion(attempt.simulated().request(), tokens, now - attempt.dispatchedNanos(), now);
        outcome.recordAnswer(simulated, now);
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
            final long tokensLeft = toTokens(attempt.endNanos() - now);
            final int preemptions =
                    preemptionCounts.getOrDefault(attempt.simulated().request().id(), 0);
            streams.add(new RunningStream(
                    attempt.simulated().request(),
                    Math.max(0, attempt.simulated().tokens() - tokensLeft),
                    true,
                    preemptions));
        }
        for (final RunningStream stream : policy.selectVictims(streams, pool.inFlight(), now)) {
            pool.cancel(stream.request().id(), now).ifPresent(attempt -> requeue(attempt, now));
        }
        dispatchWaiting(now);
    }

    private void requeue(FakePool.Attempt attempt, long now) {
        final SimulatedRequest simulated = attempt.simulated();
        final WaitingRequest request = simulated.request();
        final long nanosLeft = attempt.endNanos() - now;
        final long tokensDone = Math.max(0, simulated.tokens() - toTokens(nanosLeft));
        preemptionCounts.merge(request.id(), 1, Integer::sum);
        policy.recordCompletion(request, tokensDone, now - attempt.dispatchedNanos(), now);
        outcome.recordPreemption(simulated, tokensDone, now);
        final long expectedTokens = Math.max(1, request.expectedTokens() - tokensDone);
        final WaitingRequest remainder = request.resumed(expectedTokens, (long)
                (request.expectedRunNanos() * (expectedTokens / (double) request.expectedTokens())));
        outstanding.put(
                request.id(),
                new SimulatedRequest(
                        simulated.source(),
                        remainder,
                        simulated.tokens() - tokensDone,
                        nanosLeft + RESUME_PREFILL_NANOS));
        policy.offer(remainder, now);
    }

    private long toTokens(long nanos) {
        return (long) Math.ceil(nanos / deployment.nanosPerToken());
    }
}
