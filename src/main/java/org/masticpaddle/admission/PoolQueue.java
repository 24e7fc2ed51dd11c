package org.masticpaddle.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.masticpaddle.wire.Rank;

/** Waiting and running requests of one pool. The length of the queue is limited. Not thread-safe. */
final class PoolQueue {
    /** Time constant of the rates of admitted tokens by rank. */
    private static final long ADMITTED_RATE_TIME_CONSTANT_NANOS = 1_000_000_000L;

    /**
     * Fraction of the time left that a request may wait during a burst. Wait estimates have errors: without a margin,
     * half of the requests admitted last would expire in the queue.
     */
    private static final double BURST_WAIT_FRACTION = 0.8;

    /** Duration from which a backlog counts as an overload instead of a burst. */
    private static final long MAX_BURST_NANOS = 2_000_000_000L;

    /**
     * Fraction of the time left that a request may wait during an overload. A longer queue adds no throughput and takes
     * longer to drain once the overload ends, so it is kept short.
     */
    private static final double OVERLOAD_WAIT_FRACTION = 0.15;

    private record RunningRequest(WaitingRequest request, boolean reducedDeficit) {}

    private final int maxWaiting;
    private final FloorDeficits floors;
    private final Map<Rank, RankQueue> ranks = new EnumMap<>(Rank.class);
    private final Map<Rank, DecayingRate> admittedTokenRates = new EnumMap<>(Rank.class);
    private final Map<Long, WaitingRequest> waiting = new HashMap<>();
    private final Map<Long, RunningRequest> running = new HashMap<>();
    private final Map<Rank, Integer> runningByRank = new EnumMap<>(Rank.class);
    private final TreeSet<WaitingRequest> byLatestStart = new TreeSet<>(
            Comparator.comparingLong(WaitingRequest::latestStartNanos).thenComparingLong(WaitingRequest::id));
    private final List<Rejection> expired = new ArrayList<>();
    private final ServiceRate serviceRate = new ServiceRate();

    PoolQueue(int maxWaiting, Map<Rank, Double> floors) {
        this.maxWaiting = maxWaiting;
        this.floors = new FloorDeficits(floors);
        for (final Rank rank : Rank.values()) {
            ranks.put(rank, new RankQueue());
            admittedTokenRates.put(rank, new DecayingRate(ADMITTED_RATE_TIME_CONSTANT_NANOS));
        }
    }

    EnqueueResult offer(WaitingRequest request, long now) {
        if (waiting.containsKey(request.id()) || running.containsKey(request.id())) {
            throw new IllegalArgumentException("request is already waiting or running: " + request.id());
        }
        final long expectedWaitNanos = expectedWaitNanos(request, now);
        final long nanosLeft = request.latestStartNanos() - now;
        if (nanosLeft < 0) {
            return rejected(request, RejectionReason.DEADLINE_PASSED, expectedWaitNanos);
        }
        final long maxWaitNanos = (long) (nanosLeft * maxWaitFraction(request, now));
        // A partially run stream was admitted before; rejecting it now would waste the tokens that it has produced.
        if (expectedWaitNanos > maxWaitNanos && !request.partiallyRun()) {
            return rejected(request, RejectionReason.WAIT_EXCEEDS_DEADLINE, expectedWaitNanos - maxWaitNanos);
        }
        Optional<Rejection> displaced = Optional.empty();
        if (waiting.size() >= maxWaiting) {
            final Optional<WaitingRequest> victim = Displacement.selectVictim(request, ranks, floors, maxWaiting);
            if (victim.isEmpty()) {
                return rejected(request, RejectionReason.QUEUE_FULL, expectedWaitNanos);
            }
            displaced = victim.map(displacedRequest -> {
                final long retryAfterNanos = expectedWaitNanos(displacedRequest, now);
                removeWaiting(displacedRequest);
                return rejection(displacedRequest, RejectionReason.DISPLACED, retryAfterNanos);
            });
        }
        serviceRate.update(now, true);
        waiting.put(request.id(), request);
        byLatestStart.add(request);
        admittedTokenRates.get(request.rank()).add(request.expectedTokens(), now);
        ranks.get(request.rank()).add(request, now);
        return new EnqueueResult.Queued(expectedWaitNanos, displaced);
    }

    /** Returns the fraction of the time left that the request may wait. */
    private double maxWaitFraction(WaitingRequest request, long now) {
        final boolean overloaded =
                ranks.get(request.rank()).isBackloggedFor(request.organisation(), now, MAX_BURST_NANOS);
        return overloaded ? OVERLOAD_WAIT_FRACTION : BURST_WAIT_FRACTION;
    }

    Optional<WaitingRequest> dispatchNext(long now, DispatchCapacity capacity) {
        removeExpired(now);
        final Map<Rank, WaitingRequest> heads = new EnumMap<>(Rank.class);
        ranks.forEach((rank, queue) -> queue.firstDispatchable(capacity).ifPresent(head -> heads.put(rank, head)));
        if (heads.isEmpty()) {
            return Optional.empty();
        }
        final Optional<Rank> underservedRank = floors.mostUnderserved(heads.keySet());
        final Rank rank =
                underservedRank.orElseGet(() -> heads.keySet().iterator().next());
        final WaitingRequest request = heads.get(rank);
        ranks.get(rank).dispatch(request);
        floors.recordDispatch(rank, request.expectedTokens(), heads.keySet());

        waiting.remove(request.id());
        byLatestStart.remove(request);
        runningByRank.merge(rank, 1, Integer::sum);
        running.put(request.id(), new RunningRequest(request, underservedRank.isPresent()));
        serviceRate.update(now, !waiting.isEmpty());
        return Optional.of(request);
    }

    List<Rejection> expire(long now) {
        removeExpired(now);
        final List<Rejection> rejections = List.copyOf(expired);
        expired.clear();
        return rejections;
    }

    private void removeExpired(long now) {
        while (!byLatestStart.isEmpty() && byLatestStart.first().latestStartNanos() < now) {
            final WaitingRequest request = byLatestStart.first();
            removeWaiting(request);
            expired.add(rejection(request, RejectionReason.DEADLINE_PASSED, expectedWaitNanos(request, now)));
        }
        serviceRate.update(now, !waiting.isEmpty());
    }

    Optional<WaitingRequest> cancel(long id, long now) {
        final Optional<WaitingRequest> cancelled = Optional.ofNullable(waiting.get(id));
        cancelled.ifPresent(this::removeWaiting);
        serviceRate.update(now, !waiting.isEmpty());
        return cancelled;
    }

    boolean complete(long id, long tokens, long now) {
        final RunningRequest completed = running.remove(id);
        if (completed == null) {
            return false;
        }
        serviceRate.update(now, !waiting.isEmpty());
        serviceRate.recordCompletion(tokens);
        final Rank rank = completed.request().rank();
        runningByRank.merge(rank, -1, Integer::sum);
        ranks.get(rank).complete(completed.request(), tokens);
        floors.correctTokens(
                rank, tokens - completed.request().expectedTokens(), completed.reducedDeficit(), backloggedRanks());
        return true;
    }

    long expectedWaitNanos(WaitingRequest request, long now) {
        serviceRate.update(now, !waiting.isEmpty());
        if (!serviceRate.isKnown() || waiting.isEmpty()) {
            return 0;
        }
        final Map<Rank, Double> admittedTokensPerSecond = new EnumMap<>(Rank.class);
        admittedTokenRates.forEach((rank, tokenRate) -> admittedTokensPerSecond.put(rank, tokenRate.perSecond(now)));
        return WaitEstimate.waitNanos(request, ranks, floors, serviceRate.tokensPerSecond(), admittedTokensPerSecond);
    }

    long oldestWaitNanos(Rank rank, long now) {
        return ranks.get(rank)
                .oldestArrivalNanos()
                .map(arrivalNanos -> now - arrivalNanos)
                .orElse(0L);
    }

    int size() {
        return waiting.size();
    }

    int size(Rank rank) {
        return ranks.get(rank).size();
    }

    int running() {
        return running.size();
    }

    int running(Rank rank) {
        return runningByRank.getOrDefault(rank, 0);
    }

    private Set<Rank> backloggedRanks() {
        final Set<Rank> backloggedRanks = EnumSet.noneOf(Rank.class);
        ranks.forEach((rank, queue) -> {
            if (queue.size() > 0) {
                backloggedRanks.add(rank);
            }
        });
        return backloggedRanks;
    }

    private void removeWaiting(WaitingRequest request) {
        waiting.remove(request.id());
        byLatestStart.remove(request);
        ranks.get(request.rank()).remove(request);
    }

    private static EnqueueResult rejected(WaitingRequest request, RejectionReason reason, long retryAfterNanos) {
        return new EnqueueResult.Rejected(rejection(request, reason, retryAfterNanos));
    }

    private static Rejection rejection(WaitingRequest request, RejectionReason reason, long retryAfterNanos) {
        return new Rejection(request, reason, Math.max(1, retryAfterNanos));
    }
}
