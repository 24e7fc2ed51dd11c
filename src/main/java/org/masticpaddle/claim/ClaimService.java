package org.masticpaddle.claim;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.IntStream;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticpaddle.kernel.Duty;
import org.masticpaddle.kernel.Service;
import org.masticpaddle.platform.EventLog;
import org.masticpaddle.wire.MalformedMessageException;
import org.masticpaddle.wire.RunState;

/**
 * Claims the keys of one entry's requests: appends claims to the log in batches, reads the partitions back, and decides
 * each request.
 *
 * <p>Invariants: a claim is reported as won only after it was read back as the claim that holds its key; every request
 * is decided no later than the confirmation timeout and one tick after its deadline. Thread-safe. The futures complete
 * on the thread of the service, so their dependents must not block.
 */
public final class ClaimService implements Service {
    private static final Logger LOGGER = LogManager.getLogger(ClaimService.class);
    /** Capacity of the ring in messages; a request that finds the ring full is reported as unavailable. */
    private static final int RING_CAPACITY = 8_192;
    /** Interval between checks of deadlines and due log operations. */
    private static final long TICK_MILLIS = 5;
    /** Longest time for which {@link #stop()} waits for pending requests. */
    private static final long STOP_TIMEOUT_MILLIS = 5_000;

    private static final RuntimeException INCONSISTENT_PAGE = new MalformedMessageException(
            "the page omits retained records or ends before records that were already read", null);

    private final EventLog log;
    private final ClaimSettings settings;
    private final LongSupplier clock;
    private final List<ClaimPartition> partitions;
    private final AtomicLongArray tailReadMillis;
    private final Duty<Runnable> duty;
    private final Set<String> failingOperations = new HashSet<>();
    private final CompletableFuture<Void> idle = new CompletableFuture<>();
    private volatile boolean accepting;
    private boolean stopping;
    private boolean closed;

    /**
     * Creates a service that is not started.
     *
     * @param log log of the platform
     * @param settings limits, intervals and timeouts
     * @param clock time in milliseconds since 1970
     * @param attemptIds source of attempt ids, usually an {@link AttemptIdGenerator}; called on the thread of the
     *     service
     */
    public ClaimService(EventLog log, ClaimSettings settings, LongSupplier clock, Supplier<String> attemptIds) {
        this.log = Objects.requireNonNull(log, "log is null");
        this.settings = Objects.requireNonNull(settings, "settings is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
        Objects.requireNonNull(attemptIds, "attemptIds is null");
        this.partitions = IntStream.range(0, settings.partitions())
                .mapToObj(index -> new ClaimPartition(settings, attemptIds))
                .toList();
        this.tailReadMillis = new AtomicLongArray(settings.partitions());
        IntStream.range(0, tailReadMillis.length()).forEach(index -> tailReadMillis.set(index, Long.MIN_VALUE));
        this.duty = new Duty<>("claims", RING_CAPACITY, TICK_MILLIS, new Handler());
    }

    @Override
    public void start() {
        accepting = true;
        duty.start();
    }

    /** Rejects new requests, waits up to five seconds for the accepted ones, and decides the rest as unavailable. */
    @Override
    public void stop() {
        accepting = false;
        if (duty.offer(() -> stopping = true)) {
            idle.completeOnTimeout(null, STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                    .join();
        }
        duty.offer(() -> {
            closed = true;
            partitions.forEach(ClaimPartition::close);
        });
        duty.stop();
    }

    /**
     * Claims the key of a request.
     *
     * @param request the key, body hash and sidecar to claim for
     * @param deadlineMillis time in milliseconds since 1970 at which the request is abandoned
     * @return the decision; never completes exceptionally
     */
    public CompletableFuture<ClaimDecision> claim(ClaimRequest request, long deadlineMillis) {
        Objects.requireNonNull(request, "request is null");
        return decide(
                request, (partition, decision) -> partition.submit(request, deadlineMillis, decision::complete, now()));
    }

    /**
     * Looks up the key of a request that is rejected without a claim, for example because of overload, so that the
     * rejection can report whether the key has run. The partition is read once more for it.
     *
     * @param request the key, body hash and sidecar of the request
     * @return the claim that holds the key, or {@link ClaimDecision.Unavailable} with the run state; never completes
     *     exceptionally
     */
    public CompletableFuture<ClaimDecision> lookUp(ClaimRequest request) {
        Objects.requireNonNull(request, "request is null");
        return decide(request, (partition, decision) -> partition.lookUp(request, decision::complete, now()));
    }

    /**
     * Releases a claim whose attempt its sidecar has fenced, or that this entry won and will never dispatch.
     *
     * @param claim claim to release
     * @param deadlineMillis time in milliseconds since 1970 at which the wait for the read-back ends
     * @return whether the release was read back, so that the key can be claimed again; never completes exceptionally
     */
    public CompletableFuture<Boolean> release(ClaimRecord.Claim claim, long deadlineMillis) {
        Objects.requireNonNull(claim, "claim is null");
        final CompletableFuture<Boolean> result = new CompletableFuture<>();
        offer(claim.key(), partition -> partition.release(claim, deadlineMillis, result::complete), result, false);
        return result;
    }

    /**
     * Records the outcome of an attempt that this entry dispatched.
     *
     * @param outcome outcome to append
     * @return whether the log acknowledged it; {@code false} if the buffer was full or the service stopped; never
     *     completes exceptionally
     */
    public CompletableFuture<Boolean> record(ClaimRecord.Outcome outcome) {
        Objects.requireNonNull(outcome, "outcome is null");
        final CompletableFuture<Boolean> result = new CompletableFuture<>();
        offer(outcome.key(), partition -> partition.record(outcome, result::complete), result, false);
        return result;
    }

    /**
     * Returns whether a partition has been read to its tail after a given time.
     *
     * @param partition partition, from {@link IdempotencyKey#partition(int)}
     * @param timeMillis time in milliseconds since 1970
     * @return {@code true} if a read that started after that time reached the tail
     */
    public boolean hasReachedTailAfter(int partition, long timeMillis) {
        return tailReadMillis.get(partition) > timeMillis;
    }

    private CompletableFuture<ClaimDecision> decide(
            ClaimRequest request, BiConsumer<ClaimPartition, CompletableFuture<ClaimDecision>> action) {
        final CompletableFuture<ClaimDecision> decision = new CompletableFuture<>();
        final ClaimDecision.Reason reason =
                accepting ? ClaimDecision.Reason.BUFFER_FULL : ClaimDecision.Reason.STOPPING;
        offer(
                request.key(),
                partition -> action.accept(partition, decision),
                decision,
                new ClaimDecision.Unavailable(RunState.UNKNOWN, reason));
        return decision;
    }

    private <T> void offer(
            IdempotencyKey key, Consumer<ClaimPartition> action, CompletableFuture<T> result, T rejection) {
        final int index = key.partition(settings.partitions());
        final boolean offered = accepting
                && duty.offer(() -> {
                    if (closed) {
                        result.complete(rejection);
                        return;
                    }
                    action.accept(partitions.get(index));
                    advance(index);
                });
        if (!offered) {
            result.complete(rejection);
        }
    }

    /**
     * Starts the log operations that a partition needs. A result is dropped if the ring is full; the partition retries
     * the operation after its timeout.
     */
    private void advance(int index) {
        final ClaimPartition partition = partitions.get(index);
        final String stream = "claims-" + index;
        partition
                .nextAppend(now())
                .ifPresent(append -> catchFailure(() -> log.append(stream, append.records()))
                        .whenComplete((offset, error) -> duty.offer(() -> {
                            logFailureChange("append", index, error);
                            partition.completeAppend(append.sequence(), error == null, now());
                            advance(index);
                        })));
        partition
                .nextRead(now())
                .ifPresent(read -> catchFailure(
                                () -> log.read(stream, read.from(), read.limit(), Duration.ofMillis(read.waitMillis())))
                        .whenComplete((page, error) -> duty.offer(() -> {
                            if (error == null) {
                                final boolean usable = partition.completeRead(read.sequence(), page, now());
                                logFailureChange("read", index, usable ? null : INCONSISTENT_PAGE);
                                tailReadMillis.set(index, partition.tailReadMillis());
                            } else {
                                partition.failRead(read.sequence(), now());
                                logFailureChange("read", index, error);
                            }
                            advance(index);
                        })));
    }

    /** Logs when an operation starts to fail and when it succeeds again, but not each failure in between. */
    private void logFailureChange(String operation, int index, Throwable error) {
        final String name = operation + " of log stream claims-" + index;
        if (error != null && failingOperations.add(name)) {
            LOGGER.warn("{} fails, claims are delayed: {}", name, error.getMessage());
        } else if (error == null && failingOperations.remove(name)) {
            LOGGER.info("{} succeeds again", name);
        }
    }

    private static <T> CompletableFuture<T> catchFailure(Supplier<CompletableFuture<T>> operation) {
        try {
            return operation.get();
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private long now() {
        return clock.getAsLong();
    }

    private final class Handler implements Duty.Handler<Runnable> {
        @Override
        public void handle(Runnable message) {
            message.run();
        }

        @Override
        public void tick() {
            for (int index = 0; index < partitions.size(); index++) {
                partitions.get(index).tick(now());
                advance(index);
            }
            if (stopping && partitions.stream().allMatch(ClaimPartition::isIdle)) {
                idle.complete(null);
            }
        }
    }
}
