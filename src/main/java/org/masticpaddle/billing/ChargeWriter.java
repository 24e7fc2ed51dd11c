package org.masticpaddle.billing;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

import org.apache.logging.log4j.CloseableThreadContext;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticpaddle.kernel.Duty;
import org.masticpaddle.kernel.Service;
import org.masticpaddle.platform.EventLog;
import org.masticpaddle.wire.Charge;

/**
 * Appends charges to the log in batches and buffers them during an outage of the log. An entry uses
 * {@link #append(Charge, Runnable)}; a sidecar uses {@link #hold(Charge)} and {@link #discardHeld(String)}.
 *
 * <p>Invariant: a buffered charge is appended at least once, unless it is discarded or the process ends before
 * {@link #stop()} could append it. Thread-safe.
 */
public final class ChargeWriter implements Service {
    /** Name of the log stream of the charges. */
    public static final String STREAM = "charges";

    private static final Logger LOGGER = LogManager.getLogger(ChargeWriter.class);
    /** Capacity of the ring in messages; a charge that finds the ring full is dropped. */
    private static final int RING_CAPACITY = 8_192;
    /** Interval between checks whether an append is due. */
    private static final long TICK_MILLIS = 20;
    /** Longest time for which {@link #stop()} waits for appends. */
    private static final long STOP_TIMEOUT_MILLIS = 10_000;

    private final EventLog log;
    private final LongSupplier clock;
    private final ChargeBuffer buffer;
    private final Duty<Runnable> duty;
    private final AtomicLong droppedCount = new AtomicLong();
    private final AtomicInteger pendingCount = new AtomicInteger();
    private final CompletableFuture<Void> flushed = new CompletableFuture<>();
    private volatile boolean accepting;
    private boolean stopping;

    /**
     * Creates a writer that is not started.
     *
     * @param log log of the platform
     * @param settings limits, intervals and timeouts
     * @param clock time in milliseconds since 1970
     */
    public ChargeWriter(EventLog log, ChargeSettings settings, LongSupplier clock) {
        this.log = Objects.requireNonNull(log, "log is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.buffer = new ChargeBuffer(Objects.requireNonNull(settings, "settings is null"));
        this.duty = new Duty<>("charges", RING_CAPACITY, TICK_MILLIS, new Handler());
    }

    @Override
    public void start() {
        accepting = true;
        duty.start();
    }

    /**
     * Rejects new charges and appends all buffered ones, for up to ten seconds. Logs the number of those that are lost.
     */
    @Override
    public void stop() {
        accepting = false;
        final boolean offered = duty.offer(() -> {
            stopping = true;
            buffer.flush();
            advance();
        });
        if (offered) {
            flushed.completeOnTimeout(null, STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                    .join();
        }
        duty.stop();
        if (pendingCount.get() > 0) {
            LOGGER.error(
                    "{} charges lost: the log did not acknowledge them before the process stopped", pendingCount.get());
        }
    }

    /**
     * Queues a charge of an entry.
     *
     * @param charge charge to append
     * @param onAcknowledged called on the thread of the writer when the log has acknowledged the charge; must not block
     * @return {@code false} if the ring is full or the writer is stopping; the charge is then dropped
     */
    public boolean append(Charge charge, Runnable onAcknowledged) {
        Objects.requireNonNull(charge, "charge is null");
        Objects.requireNonNull(onAcknowledged, "onAcknowledged is null");
        return offer(() -> handleAdd(charge, buffer.add(charge, onAcknowledged, clock.getAsLong())));
    }

    /**
     * Holds a charge of a sidecar, which is appended only if it is not discarded within the hold time.
     *
     * @param charge charge to hold
     * @return {@code false} if the ring is full or the writer is stopping; the charge is then dropped
     */
    public boolean hold(Charge charge) {
        Objects.requireNonNull(charge, "charge is null");
        return offer(() -> handleAdd(charge, buffer.hold(charge, clock.getAsLong())));
    }

    /**
     * Discards a held charge, as its entry has appended it.
     *
     * @param attemptId attempt of the charge
     */
    public void discardHeld(String attemptId) {
        Objects.requireNonNull(attemptId, "attemptId is null");
        duty.offer(() -> buffer.discardHeld(attemptId));
    }

    /**
     * Returns the number of charges dropped because the buffer or the ring was full or the writer was not accepting.
     *
     * @return number of charges since the start
     */
    public long droppedCount() {
        return droppedCount.get();
    }

    /**
     * Returns the number of charges in the buffer: queued, in flight or held.
     *
     * @return number of charges when the buffer was last processed
     */
    public int pendingCount() {
        return pendingCount.get();
    }

    private boolean offer(Runnable action) {
        final boolean offered = accepting && duty.offer(action);
        if (!offered) {
            droppedCount.incrementAndGet();
        }
        return offered;
    }

    private void handleAdd(Charge charge, boolean buffered) {
        if (!buffered) {
            droppedCount.incrementAndGet();
            try (CloseableThreadContext.Instance ignored = CloseableThreadContext.put("attempt", charge.attemptId())
                    .put("organisation", charge.organisation())) {
                LOGGER.error("charge lost: the buffer is full");
            }
        }
        advance();
    }

    private void advance() {
        buffer.nextAppend(clock.getAsLong())
                .ifPresent(append -> send(append).whenComplete((offset, error) -> {
                    if (error != null) {
                        LOGGER.debug("append of charges failed, will be retried: {}", error.getMessage());
                    }
                    duty.offer(() -> {
                        buffer.completeAppend(append.sequence(), error == null, clock.getAsLong());
                        advance();
                    });
                }));
        pendingCount.set(buffer.size());
        if (stopping && buffer.size() == 0) {
            flushed.complete(null);
        }
    }

    private CompletableFuture<Long> send(ChargeBuffer.Append append) {
        try {
            return log.append(STREAM, append.records());
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private final class Handler implements Duty.Handler<Runnable> {
        @Override
        public void handle(Runnable message) {
            message.run();
        }

        @Override
        public void tick() {
            advance();
        }
    }
}
