package org.masticpaddle.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Objects;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes an answer of unknown length piece by piece from any thread.
 *
 * <p>Invariants: pieces leave in the order of {@link #write(byte[])}; at most {@code maxPendingBytes} wait for a slow
 * reader, after which the stream fails; the close action runs once, when the peer goes away or the stream ends.
 * Thread-safe.
 */
public final class ResponseStream {
    private final HttpServerExchange exchange;
    private final long maxPendingBytes;
    private final ArrayDeque<ByteBuffer> pending = new ArrayDeque<>();
    private StreamSinkChannel channel;
    private long pendingBytes;
    private boolean ended;
    private boolean closed;
    private boolean draining;
    private Runnable closeAction = () -> {};

    private ResponseStream(HttpServerExchange exchange, long maxPendingBytes) {
        this.exchange = exchange;
        this.maxPendingBytes = maxPendingBytes;
    }

    /**
     * Starts the answer.
     *
     * @param exchange the exchange, whose headers are set by now
     * @param status HTTP status
     * @param contentType value of the {@code Content-Type} header
     * @param maxPendingBytes bytes that may wait for a slow reader
     * @return the stream
     */
    public static ResponseStream start(
            HttpServerExchange exchange, int status, String contentType, long maxPendingBytes) {
        Objects.requireNonNull(exchange, "exchange is null");
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
        final ResponseStream stream = new ResponseStream(exchange, maxPendingBytes);
        exchange.getIoThread().execute(stream::open);
        return stream;
    }

    /**
     * Queues a piece.
     *
     * @param bytes the piece, not changed afterwards
     * @return {@code false} if the peer is gone or too slow; the stream is then closed
     */
    public boolean write(byte[] bytes) {
        final boolean fits;
        final boolean drains;
        synchronized (this) {
            if (closed || ended) {
                return false;
            }
            pendingBytes += bytes.length;
            fits = pendingBytes <= maxPendingBytes;
            drains = fits && pending.add(ByteBuffer.wrap(bytes)) && beginDrain();
        }
        if (!fits) {
            abort();
        } else if (drains) {
            startDrain();
        }
        return fits;
    }

    /**
     * Sets the action for a peer that goes away before the end of the answer. It runs at most once, on any thread.
     *
     * @param action the action; runs at once if the peer is already gone
     */
    public void onClosed(Runnable action) {
        synchronized (this) {
            if (!closed) {
                closeAction = action;
                return;
            }
        }
        action.run();
    }

    /** Ends the answer after the queued pieces. */
    public void end() {
        final boolean drains;
        synchronized (this) {
            ended = true;
            drains = beginDrain();
        }
        if (drains) {
            startDrain();
        }
    }

    /** Cuts the connection, so that the peer sees an incomplete answer. */
    public void abort() {
        markClosed();
        exchange.getIoThread().execute(() -> IoUtils.safeClose(exchange.getConnection()));
    }

    private boolean beginDrain() {
        final boolean begins = channel != null && !draining;
        draining |= begins;
        return begins;
    }

    /** Drains at once on the connection's thread: a task would wake the selector up for each piece. */
    private void startDrain() {
        if (Thread.currentThread() == exchange.getIoThread()) {
            drain();
        } else {
            exchange.getIoThread().execute(this::drain);
        }
    }

    private void markClosed() {
        final Runnable action;
        synchronized (this) {
            if (closed) {
                return;
            }
            closed = true;
            action = closeAction;
        }
        action.run();
    }

    private void open() {
        synchronized (this) {
            if (closed) {
                return;
            }
            CloseListeners.add(exchange, () -> {
                if (!exchange.isComplete()) {
                    markClosed();
                }
            });
            channel = exchange.getResponseChannel();
            channel.getWriteSetter().set(sink -> drain());
            draining = true;
        }
        drain();
    }

    private void drain() {
        try {
            while (true) {
                final ByteBuffer next;
                synchronized (this) {
                    next = pending.peek();
                    if (next == null) {
                        if (!ended) {
                            if (channel.flush()) {
                                channel.suspendWrites();
                                draining = false;
                            } else {
                                channel.resumeWrites();
                            }
                            return;
                        }
                        break;
                    }
                }
                if (channel.write(next) == 0 && next.hasRemaining()) {
                    channel.resumeWrites();
                    return;
                }
                if (!next.hasRemaining()) {
                    synchronized (this) {
                        pendingBytes -= next.capacity();
                        pending.poll();
                    }
                }
            }
            channel.shutdownWrites();
            if (channel.flush()) {
                exchange.endExchange();
            } else {
                channel.resumeWrites();
            }
        } catch (IOException e) {
            markClosed();
            IoUtils.safeClose(exchange.getConnection());
        }
    }
}
