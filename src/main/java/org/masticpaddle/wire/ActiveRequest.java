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
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * One request on one connection.
 *
 * <p>Invariants: runs on the connection's input/output thread, but for {@link #cancel()} and {@link #fail}, which any
 * thread may call; ends exactly once.
 */
final class ActiveRequest implements StreamHandle {
    /**
     * Largest body, in bytes, that is written together with the head: half of the smallest send buffer of common kernels.
     */
    private static final int LARGEST_JOINT_BODY = 4 * 1024;

    private final HttpRequest call;
    private final StreamListener listener;
    private final ByteBufferPool buffers;
    private final BiConsumer<URI, ClientConnection> release;
    private final CompletableFuture<Void> finished = new CompletableFuture<>();
    private volatile ClientConnection connection;
    private volatile boolean sent;
    private XnioExecutor.Key timer;
    private long lastByteNanos;

    ActiveRequest(
            HttpRequest call, StreamListener listener, ByteBufferPool buffers, BiConsumer<URI, ClientConnection> release) {
        this.call = call;
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
        fail(deliveryNow(), "cancelled", null);
    }

    void armConnectTimeout(XnioIoThread thread, Duration timeout) {
        thread.executeAfter(
                () -> {
                    if (connection == null) {
                        fail(HttpRequestException.Delivery.NOT_SENT, "connect timeout to " + call.origin(), null);
                    }
                },
                timeout.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    void begin(ClientConnection opened) {
        connection = opened;
        if (finished.isDone()) {
            IoUtils.safeClose(opened);
            return;
        }
        if (!opened.isOpen()) {
            fail(HttpRequestException.Delivery.NOT_SENT, "connection to " + call.origin() + " was closed", null);
            return;
        }
        lastByteNanos = System.nanoTime();
        armIdleTimeout();
        sent = true;
        try {
            opened.sendRequest(request(), requestListener());
        } catch (RuntimeException e) {
            // Undertow throws NullPointerException if the peer resets the connection before the request is written.
            fail(HttpRequestException.Delivery.POSSIBLY_SENT, "request to " + call.origin() + " failed", e);
        }
    }

    private ClientCallback<ClientExchange> requestListener() {
        return new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                exchange.setResponseListener(responseListener());
                writeBody(exchange.getRequestChannel());
            }

            @Override
            public void failed(IOException e) {
                fail(HttpRequestException.Delivery.POSSIBLY_SENT, "request to " + call.origin() + " failed", e);
            }
        };
    }

    void fail(HttpRequestException.Delivery delivery, String message, Throwable cause) {
        if (finished.completeExceptionally(new HttpRequestException(delivery, message, cause))) {
            IoUtils.safeClose(connection);
        }
    }

    private HttpRequestException.Delivery deliveryNow() {
        return sent ? HttpRequestException.Delivery.POSSIBLY_SENT : HttpRequestException.Delivery.NOT_SENT;
    }

    private void armIdleTimeout() {
        final long idleNanos = call.idleTimeout().toNanos();
        final long remaining = lastByteNanos + idleNanos - System.nanoTime();
        timer = connection
                .getIoThread()
                .executeAfter(this::checkIdle, Math.max(1, remaining / 1_000_000 + 1), TimeUnit.MILLISECONDS);
    }

    private void checkIdle() {
        if (finished.isDone()) {
            return;
        }
        if (System.nanoTime() - lastByteNanos >= call.idleTimeout().toNanos()) {
            fail(deliveryNow(), "no byte from " + call.origin() + " in " + call.idleTimeout(), null);
            return;
        }
        armIdleTimeout();
    }

    private ClientRequest request() {
        final ClientRequest request =
                new ClientRequest().setMethod(new HttpString(call.method())).setPath(call.path());
        call.headers().forEach((name, value) -> request.getRequestHeaders().put(new HttpString(name), value));
        if (!request.getRequestHeaders().contains(Headers.HOST)) {
            request.getRequestHeaders().put(Headers.HOST, call.origin().getAuthority());
        }
        if (call.body().length > 0 || !"GET".equals(call.method())) {
            request.getRequestHeaders().put(Headers.CONTENT_LENGTH, call.body().length);
        }
        return request;
    }

    private void writeBody(StreamSinkChannel channel) {
        final ByteBuffer remaining = ByteBuffer.wrap(call.body());
        if (remaining.remaining() > LARGEST_JOINT_BODY) {
            writeHead(channel, remaining);
        } else {
            channel.getWriteSetter().set(sink -> writeSome(sink, remaining));
            writeSome(channel, remaining);
        }
    }

    /**
     * Writes the head by itself. Undertow reports no bytes for a write that ends the head and takes a part of the body, so
     * that it would miss these bytes at the end and close the sending side.
     */
    private void writeHead(StreamSinkChannel channel, ByteBuffer body) {
        try {
            if (channel.flush()) {
                channel.getWriteSetter().set(sink -> writeSome(sink, body));
                writeSome(channel, body);
            } else {
                channel.getWriteSetter().set(sink -> writeHead(sink, body));
                channel.resumeWrites();
            }
        } catch (IOException e) {
            fail(HttpRequestException.Delivery.POSSIBLY_SENT, "write to " + call.origin() + " failed", e);
        }
    }

    private void writeSome(StreamSinkChannel channel, ByteBuffer remaining) {
        try {
            while (remaining.hasRemaining()) {
                if (channel.write(remaining) == 0) {
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
            fail(HttpRequestException.Delivery.POSSIBLY_SENT, "write to " + call.origin() + " failed", e);
        }
    }

    private ClientCallback<ClientExchange> responseListener() {
        return new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                lastByteNanos = System.nanoTime();
                final Map<String, String> headers = new HashMap<>();
                exchange.getResponse()
                        .getResponseHeaders()
                        .forEach(values -> headers.put(
                                values.getHeaderName().toString().toLowerCase(Locale.ROOT), values.getFirst()));
                deliver(() -> listener.onHead(exchange.getResponse().getResponseCode(), headers));
                final StreamSourceChannel channel = exchange.getResponseChannel();
                channel.getReadSetter().set(ActiveRequest.this::readSome);
                readSome(channel);
            }

            @Override
            public void failed(IOException e) {
                fail(HttpRequestException.Delivery.POSSIBLY_SENT, "answer from " + call.origin() + " failed", e);
            }
        };
    }

    private void readSome(StreamSourceChannel channel) {
        try (PooledByteBuffer pooled = buffers.allocate()) {
            final ByteBuffer buffer = pooled.getBuffer();
            while (!finished.isDone()) {
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
                buffer.flip();
                final byte[] bytes = new byte[buffer.remaining()];
                buffer.get(bytes);
                deliver(() -> listener.onBytes(bytes));
            }
        } catch (IOException e) {
            fail(HttpRequestException.Delivery.POSSIBLY_SENT, "answer from " + call.origin() + " broke off", e);
        }
    }

    private void deliver(Runnable delivery) {
        try {
            delivery.run();
        } catch (RuntimeException e) {
            fail(HttpRequestException.Delivery.POSSIBLY_SENT, "answer from " + call.origin() + " is not understood", e);
        }
    }

    private void complete() {
        if (timer != null) {
            timer.remove();
        }
        if (!finished.isDone()) {
            release.accept(call.origin(), connection);
            finished.complete(null);
        }
    }
}
