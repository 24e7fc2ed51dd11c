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
 * Appends charges to the log in batches and keeps them through an outage of the log. An entry uses
 * {@link #append(Charge, Runnable)}; a sidecar uses {@link #hold(Charge)} and {@link #discardHeld(String)}.
 *
 * <p>Invariant: an accepted charge is appended at least once, unless it is settled or the process ends without
 * {@link #stop()} reaching the log. Thread-safe.
 */
public final class ChargeWriter implements Service {
    /** Stream that holds the charges. */
    public static final String STREAM = "charges";

    private static final Logger LOGGER = LogManager.getLogger(ChargeWriter.class);
    private static final int RING_CAPACITY = 8_192;
    private static final long TICK_MILLIS = 20;
    private static final long STOP_MILLIS = 10_000;

    private final EventLog log;
    private final LongSupplier clock;
    private final ChargeBuffer buffer;
    private final Duty<Runnable> duty;
    private final AtomicLong dropped = new AtomicLong();
    private final AtomicInteger waiting = new AtomicInteger();
    private final CompletableFuture<Void> flushed = new CompletableFuture<>();
    private volatile boolean accepting;
    private boolean stopping;

    /**
     * Creates a writer that is not started.
     *
     * @param log log of the platform
     * @param settings bounds
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

    /** Appends everything that waits or is held, for up to ten seconds. */
    @Override
    public void stop() {
        accepting = false;
        final boolean offered = duty.offer(() -> {
            stopping = true;
            buffer.flush();
            advance();
        });
        if (offered) {
            flushed.completeOnTimeout(null, STOP_MILLIS, TimeUnit.MILLISECONDS).join();
        }
        duty.stop();
        if (waiting.get() > 0) {
            LOGGER.error("{} charges lost: the log took no append before the process stopped", waiting.get());
        }
    }

    /**
     * Queues a charge of an entry.
     *
     * @param charge the charge
     * @param acknowledged runs on the thread of the writer once the log has acknowledged the charge; must not block
     * @return {@code false} if the ring is full or the writer is stopping; the charge is then not appended
     */
    public boolean append(Charge charge, Runnable acknowledged) {
        Objects.requireNonNull(charge, "charge is null");
        Objects.requireNonNull(acknowledged, "acknowledged is null");
        return offer(() -> count(charge, buffer.add(charge, acknowledged, clock.getAsLong())));
    }

    /**
     * Holds a charge of a sidecar, to be appended only if the entry does not settle it in time.
     *
     * @param charge the charge
     * @return {@code false} if the ring is full or the writer is stopping
     */
    public boolean hold(Charge charge) {
        Objects.requireNonNull(charge, "charge is null");
        return offer(() -> count(charge, buffer.hold(charge, clock.getAsLong())));
    }

    /**
     * Drops a held charge, since the entry has appended it.
     *
     * @param attemptId attempt of the charge
     */
    public void discardHeld(String attemptId) {
        Objects.requireNonNull(attemptId, "attemptId is null");
        duty.offer(() -> buffer.settled(attemptId));
    }

    /**
     * Returns the number of charges refused because the buffer or the ring was full.
     *
     * @return number of charges since the start
     */
    public long droppedCount() {
        return dropped.get();
    }

    /**
     * Returns the number of charges that wait or are held.
     *
     * @return number of charges as of the last tick
     */
    public int pendingCount() {
        return waiting.get();
    }

    private boolean offer(Runnable action) {
        final boolean offered = accepting && duty.offer(action);
        if (!offered) {
            dropped.incrementAndGet();
        }
        return offered;
    }

    private void count(Charge charge, boolean kept) {
        if (!kept) {
            dropped.incrementAndGet();
            try (CloseableThreadContext.Instance ignored = CloseableThreadContext.put("attempt", charge.attemptId())
                    .put("organisation", charge.organisation())) {
                LOGGER.error("charge lost: the buffer is full");
            }
        }
        advance();
    }

    private void advance() {
        buffer.next(clock.getAsLong())
                .ifPresent(append -> send(append).whenComplete((offset, error) -> {
                    if (error != null) {
                        LOGGER.debug("append of charges failed, will be repeated: {}", error.getMessage());
                    }
                    duty.offer(() -> {
                        buffer.done(append.sequence(), error == null, clock.getAsLong());
                        advance();
                    });
                }));
        waiting.set(buffer.size());
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
