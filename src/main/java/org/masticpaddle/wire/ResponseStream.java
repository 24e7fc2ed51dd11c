package org.masticpaddle.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Objects;
import java.util.function.LongConsumer;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * Streams a response: one of unknown length in chunks, or a whole one as fast as the peer reads it.
 *
 * <p>Invariants: chunks are sent in the order of {@link #write(byte[])}; at most {@code maxPendingBytes} are buffered
 * for a slow peer, beyond which the stream is aborted; nothing is kept after that; the close action runs at most once, when the peer
 * disconnects or the stream is aborted. Thread-safe.
 */
public final class ResponseStream {
    /** Largest number of bytes of one write, each of which is copied through a buffer of that size. */
    private static final int MAX_WRITE_BYTES = 64 * 1024;

    private final HttpServerExchange exchange;
    private final long maxPendingBytes;
    private final LongConsumer onTaken;
    private final ArrayDeque<ByteBuffer> pending = new ArrayDeque<>();
    private StreamSinkChannel channel;
    private long pendingBytes;
    private boolean ended;
    private boolean closed;
    private boolean writing;
    private Runnable closeAction = () -> {};

    private ResponseStream(HttpServerExchange exchange, long maxPendingBytes, LongConsumer onTaken) {
        this.exchange = Objects.requireNonNull(exchange, "exchange is null");
        this.maxPendingBytes = maxPendingBytes;
        this.onTaken = Objects.requireNonNull(onTaken, "onTaken is null");
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
        return start(exchange, status, contentType, new ResponseStream(exchange, maxPendingBytes, ignored -> {}));
    }

    /**
     * Starts the response of an exchange. The caller bounds what is buffered.
     *
     * @param exchange exchange whose other response headers have been set
     * @param status HTTP status
     * @param contentType value of the {@code Content-Type} header
     * @param onTaken receives the number of bytes of the body whenever the connection has taken some, on the I/O thread
     * @return stream of the response body
     */
    public static ResponseStream start(
            HttpServerExchange exchange, int status, String contentType, LongConsumer onTaken) {
        return start(exchange, status, contentType, new ResponseStream(exchange, Long.MAX_VALUE, onTaken));
    }

    private static ResponseStream start(
            HttpServerExchange exchange, int status, String contentType, ResponseStream stream) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
        exchange.getIoThread().execute(stream::open);
        return stream;
    }

    /**
     * Sends a whole response, on the I/O thread of the exchange.
     *
     * @param exchange exchange whose status and other response headers have been set
     * @param body body of the response, not empty
     * @param onTaken receives the number of bytes of the body whenever the connection has taken some, on the I/O thread
     * @return stream of the response body, which needs no further call
     */
    public static ResponseStream send(HttpServerExchange exchange, byte[] body, LongConsumer onTaken) {
        exchange.setResponseContentLength(body.length);
        final ResponseStream stream = new ResponseStream(exchange, Long.MAX_VALUE, onTaken);
        // Parts of their own, so that those that the connection has taken are not kept.
        for (int from = 0; from < body.length; from += MAX_WRITE_BYTES) {
            stream.write(Arrays.copyOfRange(body, from, Math.min(body.length, from + MAX_WRITE_BYTES)));
        }
        stream.end();
        stream.open();
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
            pending.clear();
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
            for (ByteBuffer next = nextPending(); next != null; next = nextPending()) {
                if (writePart(next) == 0) {
                    channel.resumeWrites();
                    return;
                }
            }
            if (waitsForChunks()) {
                return;
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

    /** Returns the first chunk that is not written, {@code null} if there is none. */
    private synchronized ByteBuffer nextPending() {
        while (!pending.isEmpty() && !pending.peek().hasRemaining()) {
            pending.poll();
        }
        return pending.peek();
    }

    /** Suspends writing if all chunks are written; returns whether there is nothing to end either. */
    private synchronized boolean waitsForChunks() throws IOException {
        if (closed) {
            // An aborted response must not be ended, since it would look complete.
            return true;
        }
        if (ended && pending.isEmpty()) {
            return false;
        }
        if (pending.isEmpty() && channel.flush()) {
            channel.suspendWrites();
            writing = false;
        } else {
            channel.resumeWrites();
        }
        return true;
    }

    /** Writes a bounded part; returns the number of bytes that the connection has taken. */
    private int writePart(ByteBuffer next) throws IOException {
        final ByteBuffer part = next.slice();
        part.limit(Math.min(MAX_WRITE_BYTES, part.limit()));
        channel.write(part);
        final int count = part.position();
        next.position(next.position() + count);
        synchronized (this) {
            pendingBytes -= count;
        }
        onTaken.accept(count);
        return count;
    }
}
