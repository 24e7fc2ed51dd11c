package org.masticpaddle.admission;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.masticpaddle.document.RankPolicy;
import org.masticpaddle.wire.Rank;

/**
 * Waiting requests of one entry, by pool, rank and organisation.
 *
 * <p>Each pool holds at most the bound. A refused, displaced, expired or cancelled request is never returned by
 * {@link #dispatchNext}. Not thread-safe: one duty owns it.
 */
public final class AdmissionQueue {
    private final int bound;
    private final Map<Rank, Double> floors;
    private final Map<String, PoolQueue> pools = new LinkedHashMap<>();

    private AdmissionQueue(int bound, Map<Rank, Double> floors) {
        this.bound = bound;
        this.floors = floors;
    }

    /**
     * Creates an empty queue.
     *
     * @param bound most requests that wait for one pool, at least 1
     * @param policies policies by rank; a missing rank has no floor
     * @return the queue
     * @throws IllegalArgumentException if the bound is below 1, or the floors are not between 0 and 1 in sum
     */
    public static AdmissionQueue of(int bound, Map<Rank, RankPolicy> policies) {
        if (bound < 1) {
            throw new IllegalArgumentException("bound is below 1: " + bound);
        }
        final AdmissionQueue queue = new AdmissionQueue(bound, new EnumMap<>(Rank.class));
        queue.updatePolicies(policies);
        return queue;
    }

    /**
     * Takes over the floors of a new routing document; requests that wait keep their places.
     *
     * @param policies policies by rank; a missing rank has no floor
     * @throws IllegalArgumentException if the floors are not between 0 and 1 in sum
     */
    public void updatePolicies(Map<Rank, RankPolicy> policies) {
        final Map<Rank, Double> next = new EnumMap<>(Rank.class);
        policies.forEach((rank, policy) -> next.put(rank, policy.floor()));
        final double sum =
                next.values().stream().mapToDouble(Double::doubleValue).sum();
        if (!(sum <= 1) || next.values().stream().anyMatch(floor -> floor < 0)) {
            throw new IllegalArgumentException("floors are not between 0 and 1 in sum: " + next);
        }
        floors.clear();
        floors.putAll(next);
    }

    /**
     * Asks for a place. A request that has begun is refused only if the queue is full of work of more value or its
     * deadline has passed.
     *
     * @param request the request; its id is neither waiting nor running
     * @param now time in nanoseconds
     * @return queued, or refused with reason and time of a new try
     * @throws IllegalArgumentException if a request of this id waits or runs
     */
    public EnqueueResult offer(WaitingRequest request, long now) {
        Objects.requireNonNull(request, "request is null");
        return pools.computeIfAbsent(request.pool(), name -> new PoolQueue(bound, floors))
                .offer(request, now);
    }

    /**
     * Takes the request to dispatch now. The caller later tells its real tokens with {@link #complete}.
     *
     * @param now time in nanoseconds
     * @param availability free places
     * @return the request, or empty if none can be dispatched; expired requests are left to {@link #expire}
     */
    public Optional<WaitingRequest> dispatchNext(long now, DispatchCapacity availability) {
        Objects.requireNonNull(availability, "availability is null");
        for (final Map.Entry<String, PoolQueue> entry : pools.entrySet()) {
            final Optional<WaitingRequest> request = entry.getValue().next(now, availability);
            if (request.isPresent()) {
                return request;
            }
        }
        return Optional.empty();
    }

    /**
     * Removes requests whose deadline leaves no time to run them.
     *
     * @param now time in nanoseconds
     * @return the removed requests, to be answered as not run
     */
    public List<Rejection> expire(long now) {
        final List<Rejection> expired = new ArrayList<>();
        pools.values().forEach(pool -> expired.addAll(pool.expire(now)));
        return expired;
    }

    /**
     * Removes a waiting request whose caller is gone.
     *
     * @param pool its pool
     * @param id its id
     * @param now time in nanoseconds
     * @return the request, or empty if it does not wait
     */
    public Optional<WaitingRequest> cancel(String pool, long id, long now) {
        return find(pool).flatMap(queue -> queue.cancel(id, now));
    }

    /**
     * Ends a dispatched request and corrects the shares by its real use.
     *
     * @param pool its pool
     * @param id its id
     * @param tokens tokens that it really used, 0 if it did not run
     * @param now time in nanoseconds
     * @return {@code false} if it was not running, for example because it was settled before
     */
    public boolean complete(String pool, long id, long tokens, long now) {
        if (tokens < 0) {
            throw new IllegalArgumentException("tokens is negative: " + tokens);
        }
        return find(pool).map(queue -> queue.settle(id, tokens, now)).orElse(false);
    }

    /**
     * Estimates the wait of a request before it is offered.
     *
     * @param request the request
     * @param now time in nanoseconds
     * @return expected wait in nanoseconds, 0 while the rate of the pool is unknown
     */
    public long expectedWaitNanos(WaitingRequest request, long now) {
        return find(request.pool()).map(queue -> queue.estimate(request, now)).orElse(0L);
    }

    /**
     * Counts waiting requests.
     *
     * @param pool the pool
     * @return number of requests, at most the bound
     */
    public int waiting(String pool) {
        return find(pool).map(PoolQueue::size).orElse(0);
    }

    /**
     * Counts waiting requests of a rank.
     *
     * @param pool the pool
     * @param rank the rank
     * @return number of requests
     */
    public int waiting(String pool, Rank rank) {
        return find(pool).map(queue -> queue.size(rank)).orElse(0);
    }

    /**
     * Tells how long the oldest waiting request of a rank has waited.
     *
     * @param pool the pool
     * @param rank the rank
     * @param now time in nanoseconds
     * @return time since its arrival in nanoseconds, 0 if none waits
     */
    public long oldestWaitNanos(String pool, Rank rank, long now) {
        return find(pool).map(queue -> queue.oldestWait(rank, now)).orElse(0L);
    }

    /**
     * Counts dispatched requests that are not settled.
     *
     * @param pool the pool
     * @return number of requests
     */
    public int running(String pool) {
        return find(pool).map(PoolQueue::running).orElse(0);
    }

    /**
     * Counts dispatched requests of a rank that are not settled.
     *
     * @param pool the pool
     * @param rank the rank
     * @return number of requests
     */
    public int running(String pool, Rank rank) {
        return find(pool).map(queue -> queue.running(rank)).orElse(0);
    }

    private Optional<PoolQueue> find(String pool) {
        return Optional.ofNullable(pools.get(pool));
    }
}
