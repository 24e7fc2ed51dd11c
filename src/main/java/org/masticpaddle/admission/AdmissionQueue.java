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
 * Bounded queue of the requests that wait at one entry, ordered by pool, rank and organisation.
 *
 * <p>Each pool has its own queue of limited length. Higher ranks are served first, except that a rank below its floor
 * (its guaranteed minimum share of the pool's tokens) precedes all others; within a rank, organisations share by
 * start-time fair queueing. Invariant: {@link #dispatchNext} never returns a rejected, displaced, expired or cancelled
 * request. Not thread-safe: one duty owns it.
 */
public final class AdmissionQueue {
    private final int maxWaitingPerPool;
    private final Map<Rank, Double> floors;
    private final Map<String, PoolQueue> pools = new LinkedHashMap<>();

    private AdmissionQueue(int maxWaitingPerPool, Map<Rank, Double> floors) {
        this.maxWaitingPerPool = maxWaitingPerPool;
        this.floors = floors;
    }

    /**
     * Creates an empty queue.
     *
     * @param maxWaitingPerPool largest number of requests that wait for one pool, at least 1
     * @param policies policies by rank; a rank without a policy has no floor
     * @return queue without pools; a pool is added with its first request
     * @throws IllegalArgumentException if {@code maxWaitingPerPool} is below 1, a floor is negative or the sum of the
     *     floors is above 1
     */
    public static AdmissionQueue of(int maxWaitingPerPool, Map<Rank, RankPolicy> policies) {
        if (maxWaitingPerPool < 1) {
            throw new IllegalArgumentException("maxWaitingPerPool is below 1: " + maxWaitingPerPool);
        }
        final AdmissionQueue queue = new AdmissionQueue(maxWaitingPerPool, new EnumMap<>(Rank.class));
        queue.updatePolicies(policies);
        return queue;
    }

    /**
     * Replaces the floors by those of a new routing document. Waiting requests stay queued.
     *
     * @param policies policies by rank; a rank without a policy has no floor
     * @throws IllegalArgumentException if a floor is negative or the sum of the floors is above 1
     */
    public void updatePolicies(Map<Rank, RankPolicy> policies) {
        final Map<Rank, Double> newFloors = new EnumMap<>(Rank.class);
        policies.forEach((rank, policy) -> newFloors.put(rank, policy.floor()));
        final double floorSum =
                newFloors.values().stream().mapToDouble(Double::doubleValue).sum();
        if (!(floorSum <= 1) || newFloors.values().stream().anyMatch(floor -> floor < 0)) {
            throw new IllegalArgumentException("a floor is negative or the sum of the floors is above 1: " + newFloors);
        }
        floors.clear();
        floors.putAll(newFloors);
    }

    /**
     * Adds a request to the queue of its pool, or rejects it. A partially run request is rejected only if its deadline
     * has passed, or if the queue is full and holds no request of lower precedence.
     *
     * @param request the request, with an id that is neither waiting nor running
     * @param now time in nanoseconds
     * @return queued, with the displaced request if there is one, or rejected with the reason and the time to retry
     * @throws IllegalArgumentException if a request with this id is waiting or running
     */
    public EnqueueResult offer(WaitingRequest request, long now) {
        Objects.requireNonNull(request, "request is null");
        return pools.computeIfAbsent(request.pool(), name -> new PoolQueue(maxWaitingPerPool, floors))
                .offer(request, now);
    }

    /**
     * Removes the next request to dispatch and counts it as running until the caller reports its actual tokens to
     * {@link #complete}.
     *
     * @param now time in nanoseconds
     * @param capacity which pools and versions can take one more request
     * @return the request, or empty if none can be dispatched; expired requests are skipped and returned by
     *     {@link #expire}
     */
    public Optional<WaitingRequest> dispatchNext(long now, DispatchCapacity capacity) {
        Objects.requireNonNull(capacity, "capacity is null");
        for (final Map.Entry<String, PoolQueue> entry : pools.entrySet()) {
            final Optional<WaitingRequest> request = entry.getValue().dispatchNext(now, capacity);
            if (request.isPresent()) {
                return request;
            }
        }
        return Optional.empty();
    }

    /**
     * Removes the waiting requests that can no longer finish before their deadline.
     *
     * @param now time in nanoseconds
     * @return rejections of the removed requests, which the caller of this method answers
     */
    public List<Rejection> expire(long now) {
        final List<Rejection> expired = new ArrayList<>();
        pools.values().forEach(pool -> expired.addAll(pool.expire(now)));
        return expired;
    }

    /**
     * Removes a waiting request, for example because its caller has disconnected.
     *
     * @param pool pool of the request
     * @param id id of the request
     * @param now time in nanoseconds
     * @return the request, or empty if it is not waiting
     */
    public Optional<WaitingRequest> cancel(String pool, long id, long now) {
        return find(pool).flatMap(queue -> queue.cancel(id, now));
    }

    /**
     * Ends a dispatched request and corrects the shares of its organisation and rank by the tokens that it used.
     *
     * @param pool pool of the request
     * @param id id of the request
     * @param tokens tokens that it used, 0 if it did not run
     * @param now time in nanoseconds
     * @return {@code false} if it was not running, for example because it has been completed before
     */
    public boolean complete(String pool, long id, long tokens, long now) {
        if (tokens < 0) {
            throw new IllegalArgumentException("tokens is negative: " + tokens);
        }
        return find(pool).map(queue -> queue.complete(id, tokens, now)).orElse(false);
    }

    /**
     * Estimates the wait of a request before it is offered.
     *
     * @param request request that is not queued yet; its rank, organisation and tokens determine the estimate
     * @param now time in nanoseconds
     * @return expected wait in nanoseconds, 0 if nothing waits for the pool or its service rate is not known yet
     */
    public long expectedWaitNanos(WaitingRequest request, long now) {
        return find(request.pool())
                .map(queue -> queue.expectedWaitNanos(request, now))
                .orElse(0L);
    }

    /**
     * Counts the requests that wait for a pool.
     *
     * @param pool service name that identifies the pool
     * @return number of requests, at most {@code maxWaitingPerPool}; 0 for an unknown pool
     */
    public int waiting(String pool) {
        return find(pool).map(PoolQueue::size).orElse(0);
    }

    /**
     * Counts the requests of a rank that wait for a pool.
     *
     * @param pool service name that identifies the pool
     * @param rank rank of the requests to count
     * @return number of requests, 0 for an unknown pool
     */
    public int waiting(String pool, Rank rank) {
        return find(pool).map(queue -> queue.size(rank)).orElse(0);
    }

    /**
     * Returns how long the oldest waiting request of a rank has waited.
     *
     * @param pool service name that identifies the pool
     * @param rank rank of the requests to consider; other ranks may have older requests
     * @param now time in nanoseconds
     * @return time since its arrival in nanoseconds, 0 if none is waiting
     */
    public long oldestWaitNanos(String pool, Rank rank, long now) {
        return find(pool).map(queue -> queue.oldestWaitNanos(rank, now)).orElse(0L);
    }

    /**
     * Counts the dispatched requests of a pool that are not completed.
     *
     * @param pool service name that identifies the pool
     * @return number of requests, 0 for an unknown pool
     */
    public int running(String pool) {
        return find(pool).map(PoolQueue::running).orElse(0);
    }

    /**
     * Counts the dispatched requests of a rank in a pool that are not completed.
     *
     * @param pool service name that identifies the pool
     * @param rank rank of the requests to count
     * @return number of requests, 0 for an unknown pool
     */
    public int running(String pool, Rank rank) {
        return find(pool).map(queue -> queue.running(rank)).orElse(0);
    }

    private Optional<PoolQueue> find(String pool) {
        return Optional.ofNullable(pools.get(pool));
    }
}
