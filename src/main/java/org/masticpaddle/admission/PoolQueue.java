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

/** Waiting and running requests of one pool. Not thread-safe. */
final class PoolQueue {
    private static final long RATE_NANOS = 1_000_000_000L;

    /** The estimate has errors; without a margin, half of the requests admitted last would expire in the queue. */
    private static final double BURST_SHARE = 0.8;

    /** A backlog that stands this long is an overload and not a burst. */
    private static final long BURST_NANOS = 2_000_000_000L;

    /**
     * A standing backlog gains no throughput from its depth but takes as long to clear once the overload ends, so it is
     * kept shallow.
     */
    private static final double STANDING_SHARE = 0.15;

    private record Running(WaitingRequest request, boolean claimed) {}

    private final int bound;
    private final FloorLedger floors;
    private final Map<Rank, RankQueue> ranks = new EnumMap<>(Rank.class);
    private final Map<Rank, DecayingRate> admitted = new EnumMap<>(Rank.class);
    private final Map<Long, WaitingRequest> waiting = new HashMap<>();
    private final Map<Long, Running> running = new HashMap<>();
    private final Map<Rank, Integer> runningByRank = new EnumMap<>(Rank.class);
    private final TreeSet<WaitingRequest> byLatestStart =
            new TreeSet<>(Comparator.comparingLong(WaitingRequest::latestStart).thenComparingLong(WaitingRequest::id));
    private final List<Rejection> expired = new ArrayList<>();
    private final ServiceRate rate = new ServiceRate();

    PoolQueue(int bound, Map<Rank, Double> floors) {
        this.bound = bound;
        this.floors = new FloorLedger(floors);
        for (final Rank rank : Rank.values()) {
            ranks.put(rank, new RankQueue());
            admitted.put(rank, new DecayingRate(RATE_NANOS));
        }
    }

    EnqueueResult offer(WaitingRequest request, long now) {
        if (waiting.containsKey(request.id()) || running.containsKey(request.id())) {
            throw new IllegalArgumentException("request is already known: " + request.id());
        }
        final long wait = estimate(request, now);
        final long left = request.latestStart() - now;
        if (left < 0) {
            return refused(request, RejectionReason.DEADLINE_PASSED, wait);
        }
        final long allowed = (long) (left * share(request, now));
        // A stream that has begun was admitted before; refusing it now would waste what it has produced.
        if (wait > allowed && !request.partiallyRun()) {
            return refused(request, RejectionReason.WAIT_EXCEEDS_DEADLINE, wait - allowed);
        }
        Optional<Rejection> displaced = Optional.empty();
        if (waiting.size() >= bound) {
            final Optional<WaitingRequest> victim = Displacement.choose(request, ranks, floors, bound);
            if (victim.isEmpty()) {
                return refused(request, RejectionReason.QUEUE_FULL, wait);
            }
            displaced = victim.map(found -> {
                final long retry = estimate(found, now);
                forget(found);
                return refusal(found, RejectionReason.DISPLACED, retry);
            });
        }
        rate.observe(now, true);
        waiting.put(request.id(), request);
        byLatestStart.add(request);
        admitted.get(request.rank()).add(request.expectedTokens(), now);
        ranks.get(request.rank()).add(request, now);
        return new EnqueueResult.Queued(wait, displaced);
    }

    /** Part of the time left that the request may wait. */
    private double share(WaitingRequest request, long now) {
        final boolean standing = ranks.get(request.rank()).busy(request.organisation(), now, BURST_NANOS);
        return standing ? STANDING_SHARE : BURST_SHARE;
    }

    Optional<WaitingRequest> next(long now, DispatchCapacity availability) {
        removeExpired(now);
        final Map<Rank, WaitingRequest> heads = new EnumMap<>(Rank.class);
        ranks.forEach((rank, queue) -> queue.first(availability).ifPresent(head -> heads.put(rank, head)));
        if (heads.isEmpty()) {
            return Optional.empty();
        }
        final Optional<Rank> due = floors.due(heads.keySet());
        final Rank rank = due.orElseGet(() -> heads.keySet().iterator().next());
        final WaitingRequest request = heads.get(rank);
        ranks.get(rank).dispatch(request);
        floors.served(rank, request.expectedTokens(), heads.keySet());

        waiting.remove(request.id());
        byLatestStart.remove(request);
        runningByRank.merge(rank, 1, Integer::sum);
        running.put(request.id(), new Running(request, due.isPresent()));
        rate.observe(now, !waiting.isEmpty());
        return Optional.of(request);
    }

    List<Rejection> expire(long now) {
        removeExpired(now);
        final List<Rejection> result = List.copyOf(expired);
        expired.clear();
        return result;
    }

    private void removeExpired(long now) {
        while (!byLatestStart.isEmpty() && byLatestStart.first().latestStart() < now) {
            final WaitingRequest request = byLatestStart.first();
            forget(request);
            expired.add(refusal(request, RejectionReason.DEADLINE_PASSED, estimate(request, now)));
        }
        rate.observe(now, !waiting.isEmpty());
    }

    Optional<WaitingRequest> cancel(long id, long now) {
        final Optional<WaitingRequest> found = Optional.ofNullable(waiting.get(id));
        found.ifPresent(this::forget);
        rate.observe(now, !waiting.isEmpty());
        return found;
    }

    boolean settle(long id, long tokens, long now) {
        final Running done = running.remove(id);
        if (done == null) {
            return false;
        }
        rate.observe(now, !waiting.isEmpty());
        rate.completed(tokens);
        final Rank rank = done.request().rank();
        runningByRank.merge(rank, -1, Integer::sum);
        ranks.get(rank).settle(done.request(), tokens);
        floors.corrected(rank, tokens - done.request().expectedTokens(), done.claimed(), ranksWithWork());
        return true;
    }

    long estimate(WaitingRequest request, long now) {
        rate.observe(now, !waiting.isEmpty());
        if (!rate.known() || waiting.isEmpty()) {
            return 0;
        }
        final Map<Rank, Double> perSecond = new EnumMap<>(Rank.class);
        admitted.forEach((rank, meter) -> perSecond.put(rank, meter.perSecond(now)));
        return WaitEstimate.nanos(request, ranks, floors, rate.perSecond(), perSecond);
    }

    long oldestWait(Rank rank, long now) {
        return ranks.get(rank).oldestArrival().map(arrived -> now - arrived).orElse(0L);
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

    private Set<Rank> ranksWithWork() {
        final Set<Rank> found = EnumSet.noneOf(Rank.class);
        ranks.forEach((rank, queue) -> {
            if (queue.size() > 0) {
                found.add(rank);
            }
        });
        return found;
    }

    private void forget(WaitingRequest request) {
        waiting.remove(request.id());
        byLatestStart.remove(request);
        ranks.get(request.rank()).remove(request);
    }

    private static EnqueueResult refused(WaitingRequest request, RejectionReason reason, long retryNanos) {
        return new EnqueueResult.Rejected(refusal(request, reason, retryNanos));
    }

    private static Rejection refusal(WaitingRequest request, RejectionReason reason, long retryNanos) {
        return new Rejection(request, reason, Math.max(1, retryNanos));
    }
}
