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
 * Streams a response of unknown length in chunks.
 *
 * <p>Invariants: chunks are sent in the order of {@link #write(byte[])}; at most {@code maxPendingBytes} are buffered
 * for a slow peer, beyond which the stream is aborted; the close action runs at most once, when the peer disconnects or
 * the stream is aborted. Thread-safe.
 */
public final class ResponseStream {
    private final HttpServerExchange exchange;
    private final long maxPendingBytes;
    private final ArrayDeque<ByteBuffer> pending = new ArrayDeque<>();
    private StreamSinkChannel channel;
    private long pendingBytes;
    private boolean ended;
    private boolean closed;
    private boolean writing;
    private Runnable closeAction = () -> {};

    private ResponseStream(HttpServerExchange exchange, long maxPendingBytes) {
        this.exchange = exchange;
        this.maxPendingBytes = maxPendingBytes;
    }

    /**
     * Starts the response of an exchange.
     *
     * @param exchange exchange whose other response headers have been set
     * @param status HTTP status
     * @param contentType value of the {@code Content-Type} header
     * @param maxPendingBytes largest number of bytes to buffer for a slow peer
     * @return stream of the response body
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
     * Queues a chunk for sending.
     *
     * @param bytes chunk, which must not be modified afterwards
     * @return {@code false} if the chunk is dropped, because the stream has ended, the peer has disconnected or the
     *     peer is too slow; a peer that is too slow is disconnected
     */
    public boolean write(byte[] bytes) {
        final boolean fits;
        final boolean writerClaimed;
        synchronized (this) {
            if (closed || ended) {
                return false;
            }
            pendingBytes += bytes.length;
            fits = pendingBytes <= maxPendingBytes;
            writerClaimed = fits && pending.add(ByteBuffer.wrap(bytes)) && claimWriter();
        }
        if (!fits) {
            abort();
        } else if (writerClaimed) {
            scheduleWrite();
        }
        return fits;
    }

    /**
     * Sets the close action, which runs if the peer disconnects or the stream is aborted before the response is
     * complete. It runs at most once, on any thread.
     *
     * @param action replaces the previous action; runs at once if the stream is already closed
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

    /** Completes the response after the queued chunks. */
    public void end() {
        final boolean writerClaimed;
        synchronized (this) {
            ended = true;
            writerClaimed = claimWriter();
        }
        if (writerClaimed) {
            scheduleWrite();
        }
    }

    /** Closes the connection, so that the peer detects an incomplete response. */
    public void abort() {
        notifyClosed();
        exchange.getIoThread().execute(() -> IoUtils.safeClose(exchange.getConnection()));
    }

    private boolean claimWriter() {
        final boolean claimed = channel != null && !writing;
        writing |= claimed;
        return claimed;
    }

    /** Writes at once if called on the connection's thread, where a task would wake up the selector for each chunk. */
    private void scheduleWrite() {
        if (Thread.currentThread() == exchange.getIoThread()) {
            writePending();
        } else {
            exchange.getIoThread().execute(this::writePending);
        }
    }

    private void notifyClosed() {
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
                    notifyClosed();
                }
            });
            channel = exchange.getResponseChannel();
            channel.getWriteSetter().set(sink -> writePending());
            writing = true;
        }
        writePending();
    }

    private void writePending() {
        try {
            while (true) {
                final ByteBuffer next;
                synchronized (this) {
                    next = pending.peek();
                    if (next == null) {
                        if (!ended) {
                            if (channel.flush()) {
                                channel.suspendWrites();
                                writing = false;
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
            notifyClosed();
            IoUtils.safeClose(exchange.getConnection());
        }
    }
}
