package org.masticpaddle.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Objects;

import io.undertow.server.Connectors;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import org.masticpaddle.kernel.Scheduler;
import org.masticpaddle.memory.RequestMemory;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads the body of one request into memory that is reserved before it is filled. Without memory, the connection is not read, so
 * that its caller is slowed down by the flow control of the transport.
 *
 * <p>Invariants: the listener is called at most once, and not at all if the caller disconnects first; the memory is given back
 * on each end that passes on no body, and with a body when its exchange ends at the latest; a turn reads a bounded number of
 * bytes. Used on the I/O thread of the exchange only.
 */
public final class RequestBodyReader {
    /** Reads after which other connections of the I/O thread get their turn. */
    private static final int MAX_READS_PER_TURN = 16;
    /** Largest number of bytes of one read, which is copied through a buffer of this size. */
    private static final int MAX_READ_BYTES = 16 * 1024;
    /** Memory that is reserved first for a body of unknown length. */
    private static final int INITIAL_BYTES = 16 * 1024;

    private final HttpServerExchange exchange;
    private final RequestMemory.Reservation reservation;
    private final Scheduler scheduler;
    private final Limits limits;
    private final Listener listener;
    /** Byte by which the end of a body is told from the need of more memory. */
    private final ByteBuffer next = ByteBuffer.allocate(1);

    private final long startNanos;
    private byte[] bytes = new byte[0];
    private int size;
    private int wantedBytes;
    private StreamSourceChannel channel;
    private Scheduler.Timer deadlineTimer = () -> {};
    private Scheduler.Timer waitTimer = () -> {};
    private RequestBody body;
    private boolean waiting;
    private boolean ended;

    private RequestBodyReader(
            HttpServerExchange exchange,
            RequestMemory memory,
            String organisation,
            Scheduler scheduler,
            Limits limits,
            Listener listener) {
        this.exchange = Objects.requireNonNull(exchange, "exchange is null");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler is null");
        this.limits = Objects.requireNonNull(limits, "limits is null");
        this.listener = Objects.requireNonNull(listener, "listener is null");
        startNanos = scheduler.nanos();
        reservation = memory.open(organisation, new RequestMemory.Listener() {
            @Override
            public void onGranted() {
                // Runs within the release of another request.
                exchange.getIoThread().execute(RequestBodyReader.this::onMemory);
            }

            @Override
            public void onRefused() {
                exchange.getIoThread().execute(() -> reject(Rejection.MEMORY));
            }
        });
    }

    /**
     * Starts to read a body.
     *
     * @param exchange exchange whose body has not been read; called by its handler
     * @param memory owner of the memory
     * @param organisation organisation of the caller, or what else callers are told apart by
     * @param scheduler clock and timers of the exchange's I/O thread
     * @param limits largest size and times
     * @param listener receives the body or the reason why there is none
     * @return reader that has begun, and ends by one call of the listener or with its connection
     */
    public static RequestBodyReader start(
            HttpServerExchange exchange,
            RequestMemory memory,
            String organisation,
            Scheduler scheduler,
            Limits limits,
            Listener listener) {
        final RequestBodyReader reader =
                new RequestBodyReader(exchange, memory, organisation, scheduler, limits, listener);
        CloseListeners.add(exchange, reader::release);
        exchange.addExchangeCompleteListener((completed, nextListener) -> {
            reader.release();
            nextListener.proceed();
        });
        exchange.dispatch(SameThreadExecutor.INSTANCE, reader::begin);
        return reader;
    }

    /**
     * Stops reading and passes the reason on; has no effect if the reader has ended.
     *
     * @param rejection why the body is not read
     */
    public void reject(Rejection rejection) {
        if (!ended) {
            end();
            release();
            listener.onRejected(rejection);
        }
    }

    private void begin() {
        if (exchange.isRequestComplete()) {
            end();
            body = new RequestBody(bytes, reservation);
            listener.onBody(body);
            return;
        }
        final long length = exchange.getRequestContentLength();
        if (length > limits.maxBytes()) {
            reject(Rejection.TOO_LARGE);
            return;
        }
        channel = exchange.getRequestChannel();
        channel.getReadSetter().set(ignored -> readTurn());
        deadlineTimer = scheduler.schedule(limits.timeoutMillis(), this::onDeadline);
        grow((int) (length >= 0 ? length : Math.min(INITIAL_BYTES, limits.maxBytes())));
    }

    private void onDeadline() {
        reject(waiting ? Rejection.MEMORY : Rejection.LATE);
    }

    /** Asks for memory and goes on to read with it. */
    private void grow(int newBytes) {
        wantedBytes = newBytes;
        switch (reservation.ask(newBytes, scheduler.nanos())) {
            case GRANTED -> onMemory();
            case REFUSED -> reject(Rejection.MEMORY);
            default -> {
                waiting = true;
                channel.suspendReads();
                final long waitedMillis = (scheduler.nanos() - startNanos) / 1_000_000;
                waitTimer = scheduler.schedule(
                        Math.max(0, limits.waitMillis() - waitedMillis), () -> reject(Rejection.MEMORY));
            }
        }
    }

    private void onMemory() {
        if (ended) {
            return;
        }
        waiting = false;
        waitTimer.cancel();
        try {
            bytes = Arrays.copyOf(bytes, wantedBytes);
        } catch (OutOfMemoryError e) {
            reject(Rejection.MEMORY);
            return;
        }
        if (next.position() > 0) {
            bytes[size++] = next.get(0);
            next.clear();
        }
        readTurn();
    }

    private void readTurn() {
        try {
            for (int reads = 0; !ended && !waiting; reads++) {
                if (reads == MAX_READS_PER_TURN) {
                    channel.resumeReads();
                    return;
                }
                final boolean full = size == bytes.length;
                final ByteBuffer target =
                        full ? next : ByteBuffer.wrap(bytes, size, Math.min(MAX_READ_BYTES, bytes.length - size));
                final int count = channel.read(target);
                if (count == 0) {
                    channel.resumeReads();
                    return;
                }
                if (count < 0) {
                    complete();
                } else if (!full) {
                    size += count;
                } else if (size >= limits.maxBytes()) {
                    reject(Rejection.TOO_LARGE);
                } else {
                    grow((int) Math.min(limits.maxBytes(), Math.max(INITIAL_BYTES, 2L * size)));
                    return;
                }
            }
        } catch (IOException e) {
            end();
            release();
            IoUtils.safeClose(exchange.getConnection());
        }
    }

    private void complete() {
        end();
        body = new RequestBody(size == bytes.length ? bytes : Arrays.copyOf(bytes, size), reservation);
        bytes = null;
        reservation.keep(size);
        // Undertow ends an exchange with status 500 if its handler throws.
        Connectors.executeRootHandler(
                handled -> handled.dispatch(SameThreadExecutor.INSTANCE, () -> listener.onBody(body)), exchange);
    }

    private void end() {
        ended = true;
        waiting = false;
        deadlineTimer.cancel();
        waitTimer.cancel();
        if (channel != null) {
            channel.suspendReads();
            channel.getReadSetter().set(null);
        }
    }

    /** Gives the memory back, whether the body is being read or was passed on. */
    private void release() {
        if (!ended) {
            end();
        }
        bytes = null;
        if (body == null) {
            reservation.close();
        } else {
            body.release();
        }
    }

    /** Why a body is not read. The request has not run. */
    public enum Rejection {
        /** The body is larger than allowed. */
        TOO_LARGE(413, "the body is too large"),
        /** The body has not arrived in the time of the request. */
        LATE(408, "the body did not arrive in time"),
        /** There is no memory for the body, and none became free in time. */
        MEMORY(503, "no memory for the body is free"),
        /** The process stops. */
        STOPPED(503, "the gateway stops");

        private final int status;
        private final String reason;

        Rejection(int status, String reason) {
            this.status = status;
            this.reason = reason;
        }

        /**
         * Returns the status of the answer to the caller.
         *
         * @return HTTP status that says that the request has not run
         */
        public int status() {
            return status;
        }

        /**
         * Returns the reason in words.
         *
         * @return text for the caller and the log
         */
        public String reason() {
            return reason;
        }
    }

    /**
     * Limits of one body. Immutable.
     *
     * @param maxBytes largest size, at most the largest array
     * @param waitMillis time from the start within which memory must be free, in milliseconds
     * @param timeoutMillis time from the start within which the body must have arrived, in milliseconds
     */
    public record Limits(long maxBytes, long waitMillis, long timeoutMillis) {}

    /** Receives a body. Called on the I/O thread of the exchange. */
    public interface Listener {
        /**
         * Called with the whole body, which the receiver releases when the request can no longer be sent.
         *
         * @param body body whose memory is reserved
         */
        void onBody(RequestBody body);

        /**
         * Called if the body is not read to its end; the receiver has to respond.
         *
         * @param rejection reason
         */
        void onRejected(Rejection rejection);
    }
}
