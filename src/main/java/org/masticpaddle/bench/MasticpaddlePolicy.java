package org.masticpaddle.bench;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.masticpaddle.admission.AdmissionQueue;
import org.masticpaddle.admission.ConcurrencyLimiter;
import org.masticpaddle.admission.Preemption;
import org.masticpaddle.admission.RunningStream;
import org.masticpaddle.admission.WaitingRequest;
import org.masticpaddle.document.RankPolicy;
import org.masticpaddle.wire.LoadReport;
import org.masticpaddle.wire.Rank;

/** The real classes, joined as the entry joins them. */
final class MasticpaddlePolicy implements AdmissionPolicy {
    static final double BACKGROUND_FLOOR = 0.1;
    static final double STANDARD_FLOOR = 0.2;

    private static final Map<Rank, Double> FLOORS =
            Map.of(Rank.URGENT, 0.0, Rank.STANDARD, STANDARD_FLOOR, Rank.BACKGROUND, BACKGROUND_FLOOR);
    /** A tenth of the target of 0.41 s for the first token. */
    private static final long MAX_URGENT_WAIT_NANOS = 41_000_000L;

    /** Some seconds of generation in both deployments. */
    private static final long MIN_TOKENS_LEFT = 1_000;

    private static final int MAX_WAITING_REQUESTS = 4_096;

    private final AdmissionQueue queue = AdmissionQueue.of(
            MAX_WAITING_REQUESTS,
            Map.of(
                    Rank.STANDARD, new RankPolicy(Rank.STANDARD, 1_000, 15_000, STANDARD_FLOOR),
                    Rank.BACKGROUND, new RankPolicy(Rank.BACKGROUND, 5_000, 30_000, BACKGROUND_FLOOR)));
    private final Preemption preemption = Preemption.of(BACKGROUND_FLOOR, MAX_URGENT_WAIT_NANOS, MIN_TOKENS_LEFT);
    private final ConcurrencyLimiter concurrencyLimiter = ConcurrencyLimiter.of(16);

    @Override
    public void offer(WaitingRequest request, long now) {
        queue.offer(request, now);
    }

    @Override
    public Optional<WaitingRequest> dispatchNext(long now, int inFlight) {
        queue.expire(now);
        return queue.dispatchNext(
                now,
                (pool, version, rank) ->
                        concurrencyLimiter.allows(rank, FLOORS.get(rank), inFlight, queue.running(pool, rank)));
    }

    @Override
    public void recordCompletion(WaitingRequest request, long tokens, long nanos, long now) {
        queue.complete(request.pool(), request.id(), tokens, now);
        concurrencyLimiter.recordCompletion(nanos, tokens);
    }

    @Override
    public List<RunningStream> selectVictims(Collection<RunningStream> running, int inFlight, long now) {
        final int limit = concurrencyLimiter.limit();
        return preemption.selectVictims(
                running,
                queue.waiting(LoadSource.POOL, Rank.URGENT),
                queue.oldestWaitNanos(LoadSource.POOL, Rank.URGENT, now),
                limit - inFlight,
                limit);
    }

    @Override
    public boolean mayPreempt(long now) {
        return queue.oldestWaitNanos(LoadSource.POOL, Rank.URGENT, now) >= MAX_URGENT_WAIT_NANOS
                && queue.running(LoadSource.POOL, Rank.BACKGROUND) > 0;
    }

    @Override
    public void recordLoadReport(String sidecar, LoadReport load, int inFlight, long now) {
        concurrencyLimiter.recordLoadReport(sidecar, load, inFlight, now);
    }
}
