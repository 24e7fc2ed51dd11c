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
final class AdmissionRun {
    /** Interval and age of load reports. */
    private static final long REPORT_NANOS = 100_000_000L;

    /** Prefill of the prompt and of the tokens produced before. */
    private static final long RESUME_NANOS = 200_000_000L;

    private final AdmissionDeployment deployment;
    private final Map<Long, Integer> resumed = new HashMap<>();
    private final FakePool pool;
    private final AdmissionPolicy policy;
    private final Map<Long, SimulatedRequest> outstanding = new HashMap<>();
    private final AdmissionOutcome outcome = new AdmissionOutcome();
    private List<LoadReport> delayed;

    private AdmissionRun(AdmissionDeployment deployment, AdmissionPolicy policy) {
        this.deployment = deployment;
        this.pool = new FakePool(deployment);
        this.policy = policy;
        this.delayed = pool.reports();
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
        return new AdmissionRun(deployment, policy).drive(load);
    }

    private AdmissionOutcome drive(List<SimulatedRequest> load) {
        int next = 0;
        long report = 0;
        while (next < load.size()) {
            final long arrival = load.get(next).request().arrivalNanos();
            final long now = Math.min(arrival, Math.min(pool.nextEnd(), report));
            if (now == report) {
                report(now);
                report += REPORT_NANOS;
            } else if (now == arrival) {
                final SimulatedRequest work = load.get(next++);
                outstanding.put(work.request().id(), work);
                outcome.arrived(work);
                policy.offer(work.request(), now);
            } else {
                finish(pool.finishFirst(), now);
            }
            dispatch(now);
            preempt(now);
        }
        return outcome.close();
    }

    private void report(long now) {
        for (int worker = 0; worker < delayed.size(); worker++) {
            policy.report("sidecar-" + worker, delayed.get(worker), pool.inFlight(), now);
        }
        delayed = pool.reports();
    }

    private void finish(FakePool.Attempt attempt, long now) {
        final SimulatedRequest work =
                outstanding.remove(attempt.work().request().id());
        final long tokens = attempt.work().tokens();
        policy.finished(attempt.work().request(), tokens, now - attempt.dispatched(), now);
        outcome.answered(work, now);
    }

    private void dispatch(long now) {
        Optional<WaitingRequest> request = policy.next(now, pool.inFlight());
        while (request.isPresent()) {
            pool.dispatch(outstanding.get(request.get().id()), now);
            request = policy.next(now, pool.inFlight());
        }
    }

    private void preempt(long now) {
        if (!policy.wantsPreemption(now)) {
            return;
        }
        final List<RunningStream> streams = new ArrayList<>();
        for (final FakePool.Attempt attempt : pool.running()) {
            final long left = tokens(attempt.ends() - now);
            final int before = resumed.getOrDefault(attempt.work().request().id(), 0);
            streams.add(new RunningStream(
                    attempt.work().request(), Math.max(0, attempt.work().tokens() - left), true, before));
        }
        for (final RunningStream stream : policy.preempt(streams, pool.inFlight(), now)) {
            pool.cancel(stream.request().id(), now).ifPresent(attempt -> resumeLater(attempt, now));
        }
        dispatch(now);
    }

    private void resumeLater(FakePool.Attempt attempt, long now) {
        final SimulatedRequest work = attempt.work();
        final WaitingRequest request = work.request();
        final long left = attempt.ends() - now;
        final long done = Math.max(0, work.tokens() - tokens(left));
        resumed.merge(request.id(), 1, Integer::sum);
        policy.finished(request, done, now - attempt.dispatched(), now);
        outcome.served(work, done, now);
        final long expected = Math.max(1, request.expectedTokens() - done);
        final WaitingRequest rest =
                request.resumed(expected, (long) (request.expectedRunNanos() * (expected / (double) request.expectedTokens())));
        outstanding.put(
                request.id(), new SimulatedRequest(work.source(), rest, work.tokens() - done, left + RESUME_NANOS));
        policy.offer(rest, now);
    }

    private long tokens(long nanos) {
        return (long) Math.ceil(nanos / deployment.nanosPerToken());
    }
}
