package org.masticpaddle.kernel;

import java.util.Objects;
import java.util.concurrent.TimeUnit;

import com.lmax.disruptor.EventHandler;
import com.lmax.disruptor.ExceptionHandler;
import com.lmax.disruptor.InsufficientCapacityException;
import com.lmax.disruptor.RingBuffer;
import com.lmax.disruptor.TimeoutBlockingWaitStrategy;
import com.lmax.disruptor.TimeoutException;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Single thread that owns mutable state and is driven by a bounded ring buffer of messages and a periodic tick.
 *
 * <p>Invariants: {@link Handler} methods run on the duty's thread only and never concurrently, so the state that they
 * own needs no locks. {@link #offer(Object)} and {@link #put(Object)} may be called from any thread, except that {@code
 * put} must not be called from the duty's own thread. {@code offer} never blocks.
 *
 * @param <T> type of the messages
 */
public final class Duty<T> implements Service {
    private static final Logger LOGGER = LogManager.getLogger(Duty.class);
    private static final long STOP_TIMEOUT_SECONDS = 10;

    private final String name;
    private final int capacity;
    private final long tickNanos;
    private final Handler<T> handler;
    private Disruptor<Slot<T>> disruptor;
    private volatile RingBuffer<Slot<T>> ring;

    /**
     * Creates a duty that is not started.
     *
     * @param name name of the thread
     * @param capacity maximum number of pending messages; a power of two
     * @param tickMillis milliseconds between two ticks
     * @param handler owner of the state, which receives the messages and the ticks
     */
    public Duty(String name, int capacity, long tickMillis, Handler<T> handler) {
        this.name = Objects.requireNonNull(name, "name is null");
        this.capacity = capacity;
        this.tickNanos = TimeUnit.MILLISECONDS.toNanos(tickMillis);
        this.handler = Objects.requireNonNull(handler, "handler is null");
    }

    @Override
    public void start() {
        disruptor = new Disruptor<>(
                Slot::new,
                capacity,
                task -> {
                    final Thread thread = new Thread(task, name);
                    thread.setDaemon(true);
                    return thread;
                },
                ProducerType.MULTI,
                new TimeoutBlockingWaitStrategy(tickNanos, TimeUnit.NANOSECONDS));
        disruptor.setDefaultExceptionHandler(new LoggingExceptionHandler<>(name));
        disruptor.handleEventsWith(new RingHandler<>(handler, tickNanos));
        ring = disruptor.start();
    }

    @Override
    public void stop() {
        ring = null;
        try {
            disruptor.shutdown(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (TimeoutException e) {
            LOGGER.warn("duty {} stopped with unprocessed messages in its ring buffer", name);
            disruptor.halt();
        }
    }

    /**
     * Enqueues a message without blocking.
     *
     * @param message message for the handler
     * @return {@code false} if the ring buffer is full or the duty is not running; the message is then dropped
     */
    public boolean offer(T message) {
        final RingBuffer<Slot<T>> current = ring;
        if (current == null) {
            return false;
        }
        final long sequence;
        try {
            sequence = current.tryNext();
        } catch (InsufficientCapacityException e) {
            return false;
        }
        current.get(sequence).message = message;
        current.publish(sequence);
        return true;
    }

    /**
     * Enqueues a message and blocks while the ring buffer is full. Meant for completions that must not be lost. Must
     * not be called from the duty's own thread, which would deadlock on a full ring buffer.
     *
     * @param message message for the handler
     * @return {@code false} if the duty is not running; the message is then dropped
     */
    public boolean put(T message) {
        final RingBuffer<Slot<T>> current = ring;
        if (current == null) {
            return false;
        }
        final long sequence = current.next();
        current.get(sequence).message = message;
        current.publish(sequence);
        return true;
    }

    /**
     * Owner of the state of a duty. Its methods are called on the duty's thread only.
     *
     * @param <T> type of the messages
     */
    public interface Handler<T> {
        /**
         * Processes one message. An exception is logged, and the duty proceeds with the next message.
         *
         * @param message message that was enqueued
         */
        void handle(T message);

        /** Performs periodic work. Called about once per tick interval, also under a continuous flow of messages. */
        default void tick() {}
    }

    private static final class Slot<T> {
        private T message;
    }

    private static final class RingHandler<T> implements EventHandler<Slot<T>> {
        private final Handler<T> handler;
        private final long tickNanos;
        private long lastTickNanos = System.nanoTime();

        RingHandler(Handler<T> handler, long tickNanos) {
            this.handler = handler;
            this.tickNanos = tickNanos;
        }

        @Override
        public void onEvent(Slot<T> slot, long sequence, boolean endOfBatch) {
            final T message = slot.message;
            slot.message = null;
            handler.handle(message);
            if (System.nanoTime() - lastTickNanos >= tickNanos) {
                onTimeout(sequence);
            }
        }

        @Override
        public void onTimeout(long sequence) {
            lastTickNanos = System.nanoTime();
            handler.tick();
        }
    }

    private record LoggingExceptionHandler<T>(String name) implements ExceptionHandler<Slot<T>> {
        @Override
        public void handleEventException(Throwable error, long sequence, Slot<T> slot) {
            LOGGER.error("duty {} failed to process a message", name, error);
        }

        @Override
        public void handleOnStartException(Throwable error) {
            LOGGER.error("duty {} failed to start", name, error);
        }

        @Override
        public void handleOnShutdownException(Throwable error) {
            LOGGER.error("duty {} failed to stop", name, error);
        }
    }
}
