package org.masticpaddle.wire;

import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.http.FramingLimit;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * A request in flight on one connection.
 *
 * <p>Invariants: all methods run on the connection's I/O thread, except {@link #cancel()} and {@link #fail}, which any
 * thread may call; the request completes exactly once.
 */
final class ActiveRequest implements StreamHandle {
    /**
     * Largest body that is written together with the request head: half of the smallest send buffer of common kernels.
     */
    private static final int MAX_COALESCED_BODY_BYTES = 4 * 1024;

    /** Largest response head, and largest number of bytes that are read without a byte of the body. */
    private static final int MAX_FRAMING_BYTES = 64 * 1024;
    /** Reads of a body after which other connections of the I/O thread get their turn. */
    private static final int MAX_READS_PER_TURN = 16;
    /** Writes of a body after which other connections of the I/O thread get their turn. */
    private static final int MAX_WRITES_PER_TURN = 16;
    /** Largest number of bytes of one write. */
    private static final int MAX_WRITE_BYTES = 64 * 1024;

    private final HttpRequest request;
    private final StreamListener listener;
    private final ByteBufferPool buffers;
    private final BiConsumer<URI, ClientConnection> release;
    private final CompletableFuture<Void> finished = new CompletableFuture<>();
    private volatile ClientConnection connection;
    private volatile boolean sent;
    private volatile XnioExecutor.Key idleTimer;
    private volatile LoopTimeout responseTimeout;
    private long sentNanos;
    private long lastByteNanos;
    private long bodyBytes;
    private StreamSourceChannel responseChannel;
    private boolean paused;

    ActiveRequest(
            HttpRequest request,
            StreamListener listener,
            ByteBufferPool buffers,
            BiConsumer<URI, ClientConnection> release) {
        this.request = request;
        this.listener = listener;
        this.buffers = buffers;
        this.release = release;
    }

    @Override
    public CompletableFuture<Void> finished() {
        return finished;
    }

    @Override
    public void cancel() {
        fail(currentDelivery(), "cancelled", null);
    }

    @Override
    public void pause() {
        paused = true;
    }

    @Override
    public void resume() {
        if (paused) {
            paused = false;
            lastByteNanos = System.nanoTime();
            if (responseChannel != null && !finished.isDone()) {
                responseChannel.resumeReads();
            }
        }
    }

    void armConnectTimeout(XnioIoThread thread, Duration timeout) {
        LoopTimeout.start(
                thread,
                timeout,
                () -> connection != null || finished.isDone(),
                () -> fail(HttpRequestException.Delivery.NOT_SENT, "connect timeout to " + request.origin(), null));
    }

    void sendOn(ClientConnection opened) {
        connection = opened;
        if (finished.isDone()) {
            reset(opened);
            return;
        }
        if (!opened.isOpen()) {
            fail(HttpRequestException.Delivery.NOT_SENT, "connection to " + request.origin() + " was closed", null);
            return;
        }
        if (!listener.mayBeSent()) {
            fail(HttpRequestException.Delivery.NOT_SENT, "the request is no longer wanted", null);
            return;
        }
        sentNanos = System.nanoTime();
        lastByteNanos = sentNanos;
        armIdleTimeout();
        request.responseLimit().ifPresent(limit -> armResponseTimeout(limit, limit.timeFor(0)));
        sent = true;
        try {
            CheckedResponses.of(opened).expect(request.method());
            final FramingLimit framingLimit = FramingLimit.install(opened, MAX_FRAMING_BYTES);
            opened.sendRequest(clientRequest(), requestListener(framingLimit));
        } catch (RuntimeException e) {
            // Undertow throws NullPointerException if the peer resets the connection before the request is written.
            fail(HttpRequestException.Delivery.POSSIBLY_SENT, "request to " + request.origin() + " failed", e);
        }
    }

    private ClientCallback<ClientExchange> requestListener(FramingLimit framingLimit) {
        return new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                exchange.setResponseListener(responseListener(framingLimit));
                startWriting(exchange.getRequestChannel());
            }

            @Override
            public void failed(IOException e) {
                fail(HttpRequestException.Delivery.POSSIBLY_SENT, "request to " + request.origin() + " failed", e);
            }
        };
    }

    void fail(HttpRequestException.Delivery delivery, String message, Throwable cause) {
        if (finished.completeExceptionally(new HttpRequestException(delivery, message, cause))) {
            removeTimers();
            final ClientConnection used = connection;
            if (used != null) {
                reset(used);
            }
        }
    }

    /**
     * Resets a connection, so that the peer learns at once that nobody waits for its response. After the request was sent, Undertow's
     * own close tells the peer nothing for up to ten seconds, in which it waits for the response.
     */
    private static void reset(ClientConnection connection) {
        try {
            final StreamConnection channel = connection.performUpgrade();
            channel.setOption(Options.CLOSE_ABORT, true);
            IoUtils.safeClose(channel);
        } catch (IOException e) {
            // The connection is closed, or can only be closed by Undertow.
            IoUtils.safeClose(connection);
        }
    }

    private HttpRequestException.Delivery currentDelivery() {
        return sent ? HttpRequestException.Delivery.POSSIBLY_SENT : HttpRequestException.Delivery.NOT_SENT;
    }

    private void armIdleTimeout() {
        final long idleNanos = request.idleTimeout().toNanos();
        final long remainingNanos = lastByteNanos + idleNanos - System.nanoTime();
        idleTimer = connection
                .getIoThread()
                .executeAfter(this::checkIdle, Math.max(1, remainingNanos / 1_000_000 + 1), TimeUnit.MILLISECONDS);
        if (finished.isDone()) {
            removeTimers();
        }
    }

    private void armResponseTimeout(ResponseLimit limit, Duration remaining) {
        responseTimeout = LoopTimeout.start(
                connection.getIoThread(), remaining, finished::isDone, () -> checkResponseLimit(limit));
    }

    private void checkResponseLimit(ResponseLimit limit) {
        final Duration allowed = limit.timeFor(bodyBytes);
        final Duration remaining = allowed.minusNanos(System.nanoTime() - sentNanos);
        if (remaining.toMillis() > 0) {
            armResponseTimeout(limit, remaining);
        } else {
            fail(currentDelivery(), "the answer from " + request.origin() + " was not complete in " + allowed, null);
        }
    }

    /** Removes the timers, which would keep the request with its body until they are due. */
    private void removeTimers() {
        final XnioExecutor.Key timer = idleTimer;
        if (timer != null) {
            timer.remove();
        }
        final LoopTimeout timeout = responseTimeout;
        if (timeout != null) {
            timeout.remove();
        }
    }

    private void checkIdle() {
        if (finished.isDone()) {
            return;
        }
        if (System.nanoTime() - lastByteNanos >= request.idleTimeout().toNanos()) {
            fail(currentDelivery(), "no byte from " + request.origin() + " in " + request.idleTimeout(), null);
            return;
        }
        armIdleTimeout();
    }

    private ClientRequest clientRequest() {
        final ClientRequest clientRequest =
                new ClientRequest().setMethod(new HttpString(request.method())).setPath(request.path());
        request.headers()
                .forEach((name, value) -> clientRequest.getRequestHeaders().put(new HttpString(name), value));
        if (!clientRequest.getRequestHeaders().contains(Headers.HOST)) {
            clientRequest.getRequestHeaders().put(Headers.HOST, request.origin().getAuthority());
        }
        if (request.body().length > 0 || !"GET".equals(request.method())) {
            clientRequest.getRequestHeaders().put(Headers.CONTENT_LENGTH, request.body().length);
        }
        return clientRequest;
    }

    private void startWriting(StreamSinkChannel channel) {
        final ByteBuffer remaining = ByteBuffer.wrap(request.body());
        if (remaining.remaining() > MAX_COALESCED_BODY_BYTES) {
            writeHead(channel, remaining);
        } else {
            channel.getWriteSetter().set(sink -> writeBody(sink, remaining));
            writeBody(channel, remaining);
        }
    }

    /**
     * Writes the request head separately from the body. Undertow reports 0 bytes for a write that completes the head
     * and also takes a part of the body; it then counts these bytes as missing at the end and closes the sending side.
     */
    private void writeHead(StreamSinkChannel channel, ByteBuffer body) {
        try {
            if (channel.flush()) {
                channel.getWriteSetter().set(sink -> writeBody(sink, body));
                writeBody(channel, body);
            } else {
                channel.getWriteSetter().set(sink -> writeHead(sink, body));
                channel.resumeWrites();
            }
        } catch (IOException e) {
            fail(HttpRequestException.Delivery.POSSIBLY_SENT, "write to " + request.origin() + " failed", e);
        }
    }

    private void writeBody(StreamSinkChannel channel, ByteBuffer remaining) {
        try {
            for (int writes = 0; remaining.hasRemaining(); writes++) {
                if (writes == MAX_WRITES_PER_TURN || writePart(channel, remaining) == 0) {
                    channel.resumeWrites();
                    return;
                }
            }
            channel.shutdownWrites();
            if (channel.flush()) {
                channel.suspendWrites();
            } else {
                channel.resumeWrites();
            }
        } catch (IOException e) {
            fail(HttpRequestException.Delivery.POSSIBLY_SENT, "write to " + request.origin() + " failed", e);
        }
    }

    /** Writes a bounded part, since each write copies all that it is given through a buffer of that size. */
    private static int writePart(StreamSinkChannel channel, ByteBuffer remaining) throws IOException {
        final ByteBuffer part = remaining.slice();
        part.limit(Math.min(MAX_WRITE_BYTES, part.limit()));
        final int count = channel.write(part);
        remaining.position(remaining.position() + count);
        return count;
    }

    private ClientCallback<ClientExchange> responseListener(FramingLimit framingLimit) {
        return new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                framingLimit.onProgress();
                lastByteNanos = System.nanoTime();
                final Map<String, String> headers = new HashMap<>();
                exchange.getResponse()
                        .getResponseHeaders()
                        .forEach(values -> headers.put(
                                values.getHeaderName().toString().toLowerCase(Locale.ROOT), values.getFirst()));
                notifyListener(() -> listener.onHead(exchange.getResponse().getResponseCode(), headers));
                final StreamSourceChannel channel = exchange.getResponseChannel();
                responseChannel = channel;
                channel.getReadSetter().set(source -> readBody(source, framingLimit));
                readBody(channel, framingLimit);
            }

            @Override
            public void failed(IOException e) {
                fail(HttpRequestException.Delivery.POSSIBLY_SENT, "answer from " + request.origin() + " failed", e);
            }
        };
    }

    private void readBody(StreamSourceChannel channel, FramingLimit framingLimit) {
        try (PooledByteBuffer pooled = buffers.allocate()) {
            final ByteBuffer buffer = pooled.getBuffer();
            for (int reads = 0; !finished.isDone(); reads++) {
                if (paused) {
                    channel.suspendReads();
                    return;
                }
                if (reads == MAX_READS_PER_TURN) {
                    // A wake-up would run before the next selection, so that busy connections would keep out all
                    // others.
                    channel.resumeReads();
                    return;
                }
                buffer.clear();
                final int count = channel.read(buffer);
                if (count == 0) {
                    channel.resumeReads();
                    return;
                }
                if (count < 0) {
                    complete();
                    return;
                }
                lastByteNanos = System.nanoTime();
                bodyBytes += count;
                framingLimit.onProgress();
                buffer.flip();
                final byte[] bytes = new byte[buffer.remaining()];
                buffer.get(bytes);
                notifyListener(() -> listener.onBytes(bytes));
            }
        } catch (IOException e) {
            fail(HttpRequestException.Delivery.POSSIBLY_SENT, "answer from " + request.origin() + " broke off", e);
        }
    }

    private void notifyListener(Runnable delivery) {
        try {
            delivery.run();
        } catch (RuntimeException e) {
            fail(
                    HttpRequestException.Delivery.POSSIBLY_SENT,
                    "answer from " + request.origin() + " is not understood",
                    e);
        }
    }

    private void complete() {
        removeTimers();
        if (!finished.isDone()) {
            if (CheckedResponses.of(connection).intact()) {
                release.accept(request.origin(), connection);
            } else {
                reset(connection);
            }
            finished.complete(null);
        }
    }
}
