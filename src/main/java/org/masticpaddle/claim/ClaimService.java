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
 * Claims of one entry: appends them in batches to the log, reads the partitions back, and decides each request.
 *
 * <p>Invariants: a claim is answered as won only after it was read back first in order; every request is answered at
 * most the confirmation time and one tick after its deadline. Thread-safe. The futures complete on the thread of the
 * service, so their dependents must not block.
 */
public final class ClaimService implements Service {
    private static final Logger LOGGER = LogManager.getLogger(ClaimService.class);
    private static final int RING_CAPACITY = 8_192;
    private static final long TICK_MILLIS = 5;
    private static final long STOP_MILLIS = 5_000;
    private static final RuntimeException UNUSABLE = new MalformedMessageException(
            "the page leaves out retained records or ends before records that were read", null);

    private final EventLog log;
    private final ClaimSettings settings;
    private final LongSupplier clock;
    private final List<ClaimPartition> partitions;
    private final AtomicLongArray tails;
    private final Duty<Runnable> duty;
    private final Set<String> failing = new HashSet<>();
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private volatile boolean accepting;
    private boolean stopping;
    private boolean closed;

    /**
     * Creates a service that is not started.
     *
     * @param log log of the platform
     * @param settings bounds
     * @param clock time in milliseconds since 1970
     * @param attemptIds source of attempt ids, usually an {@link AttemptIdGenerator}; called on the thread of the service
     */
    public ClaimService(EventLog log, ClaimSettings settings, LongSupplier clock, Supplier<String> attemptIds) {
        this.log = Objects.requireNonNull(log, "log is null");
        this.settings = Objects.requireNonNull(settings, "settings is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
        Objects.requireNonNull(attemptIds, "attemptIds is null");
        this.partitions = IntStream.range(0, settings.partitions())
                .mapToObj(index -> new ClaimPartition(settings, attemptIds))
                .toList();
        this.tails = new AtomicLongArray(settings.partitions());
        IntStream.range(0, tails.length()).forEach(index -> tails.set(index, Long.MIN_VALUE));
        this.duty = new Duty<>("claims", RING_CAPACITY, TICK_MILLIS, new Handler());
    }

    @Override
    public void start() {
        accepting = true;
        duty.start();
    }

    /** Refuses new requests, waits up to five seconds for those accepted, and answers the rest as unavailable. */
    @Override
    public void stop() {
        accepting = false;
        if (duty.offer(() -> stopping = true)) {
            stopped.completeOnTimeout(null, STOP_MILLIS, TimeUnit.MILLISECONDS).join();
        }
        duty.offer(() -> {
            closed = true;
            partitions.forEach(ClaimPartition::close);
        });
        duty.stop();
    }

    /**
     * Claims a key.
     *
     * @param request the request
     * @param deadlineMillis time in milliseconds since 1970 at which the claim is given up
     * @return the decision; never fails
     */
    public CompletableFuture<ClaimDecision> claim(ClaimRequest request, long deadlineMillis) {
        Objects.requireNonNull(request, "request is null");
        return decide(
                request, (partition, answer) -> partition.submit(request, deadlineMillis, answer::complete, now()));
    }

    /**
     * Finds what the refusal of a request may say that is not claimed, for example because of overload. The partition
     * is read once more for it.
     *
     * @param request the request
     * @return the claim that holds the key, or {@link ClaimDecision.Unavailable} with the run state; never fails
     */
    public CompletableFuture<ClaimDecision> lookUp(ClaimRequest request) {
        Objects.requireNonNull(request, "request is null");
        return decide(request, (partition, answer) -> partition.refuse(request, answer::complete, now()));
    }

    /**
     * Releases a claim whose attempt its sidecar has sealed, or that this entry won and will never dispatch.
     *
     * @param claim the claim
     * @param deadlineMillis time in milliseconds since 1970 at which to stop waiting
     * @return whether the release was read back, so that the key can be claimed again; never fails
     */
    public CompletableFuture<Boolean> release(ClaimRecord.Claim claim, long deadlineMillis) {
        Objects.requireNonNull(claim, "claim is null");
        final CompletableFuture<Boolean> answer = new CompletableFuture<>();
        offer(claim.key(), partition -> partition.release(claim, deadlineMillis, answer::complete), answer, false);
        return answer;
    }

    /**
     * Records the outcome of an attempt that this entry dispatched.
     *
     * @param outcome the outcome
     * @return whether the log acknowledged it; {@code false} if the buffer was full or the service stopped; never fails
     */
    public CompletableFuture<Boolean> record(ClaimRecord.Outcome outcome) {
        Objects.requireNonNull(outcome, "outcome is null");
        final CompletableFuture<Boolean> answer = new CompletableFuture<>();
        offer(outcome.key(), partition -> partition.record(outcome, answer::complete), answer, false);
        return answer;
    }

    /**
     * Tells whether the view of a partition is complete up to some moment after a time.
     *
     * @param partition partition, from {@link IdempotencyKey#partition(int)}
     * @param timeMillis time in milliseconds since 1970
     * @return {@code true} if a read that was started after that time reached the tail
     */
    public boolean readToTailAfter(int partition, long timeMillis) {
        return tails.get(partition) > timeMillis;
    }

    private CompletableFuture<ClaimDecision> decide(
            ClaimRequest request, BiConsumer<ClaimPartition, CompletableFuture<ClaimDecision>> action) {
        final CompletableFuture<ClaimDecision> answer = new CompletableFuture<>();
        final ClaimDecision.Reason reason =
                accepting ? ClaimDecision.Reason.BUFFER_FULL : ClaimDecision.Reason.STOPPING;
        offer(
                request.key(),
                partition -> action.accept(partition, answer),
                answer,
                new ClaimDecision.Unavailable(RunState.UNKNOWN, reason));
        return answer;
    }

    private <T> void offer(
            IdempotencyKey key, Consumer<ClaimPartition> action, CompletableFuture<T> answer, T refusal) {
        final int index = key.partition(settings.partitions());
        final boolean offered = accepting
                && duty.offer(() -> {
                    if (closed) {
                        answer.complete(refusal);
                        return;
                    }
                    action.accept(partitions.get(index));
                    advance(index);
                });
        if (!offered) {
            answer.complete(refusal);
        }
    }

    /**
     * Starts the calls of the log that a partition needs. A result that finds the ring full is dropped; the partition
     * repeats the call after its time limit.
     */
    private void advance(int index) {
        final ClaimPartition partition = partitions.get(index);
        final String stream = "claims-" + index;
        partition
                .nextAppend(now())
                .ifPresent(append -> guard(() -> log.append(stream, append.records()))
                        .whenComplete((offset, error) -> duty.offer(() -> {
                            watch("append", index, error);
                            partition.appendDone(append.sequence(), error == null, now());
                            advance(index);
                        })));
        partition
                .nextRead(now())
                .ifPresent(read -> guard(
                                () -> log.read(stream, read.from(), read.limit(), Duration.ofMillis(read.waitMillis())))
                        .whenComplete((page, error) -> duty.offer(() -> {
                            if (error == null) {
                                final boolean usable = partition.readDone(read.sequence(), page, now());
                                watch("read", index, usable ? null : UNUSABLE);
                                tails.set(index, partition.tailMillis());
                            } else {
                                partition.readFailed(read.sequence(), now());
                                watch("read", index, error);
                            }
                            advance(index);
                        })));
    }

    /** Logs the first failure of a kind of call and its end, not each call in between. */
    private void watch(String call, int index, Throwable error) {
        final String name = call + " of log stream claims-" + index;
        if (error != null && failing.add(name)) {
            LOGGER.warn("{} fails, claims wait: {}", name, error.getMessage());
        } else if (error == null && failing.remove(name)) {
            LOGGER.info("{} works again", name);
        }
    }

    private static <T> CompletableFuture<T> guard(Supplier<CompletableFuture<T>> call) {
        try {
            return call.get();
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
            if (stopping && partitions.stream().allMatch(ClaimPartition::idle)) {
                stopped.complete(null);
            }
        }
    }
}
