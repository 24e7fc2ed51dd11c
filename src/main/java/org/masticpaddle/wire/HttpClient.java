package org.masticpaddle.wire;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.util.Deque;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.TimeUnit;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientProvider;
import io.undertow.client.http.HttpClientProvider;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import org.masticpaddle.kernel.Service;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioWorker;

/**
 * Asynchronous HTTP client with a pool of idle connections for each peer.
 *
 * <p>Invariants: a connection carries one request at a time; one that failed, timed out or was cancelled is closed and
 * never reused; a request is written at most once, and the client never repeats one by itself. Thread-safe.
 */
public final class HttpClient implements Service {
    private static final int BUFFER_BYTES = 8 * 1024;
    private static final int MAX_POOLED_BUFFERS = 256;
    private static final int MAX_IDLE_PER_ORIGIN = 64;

    private final int ioThreads;
    private final ConnectionTimeouts limits;
    private final Optional<EventLoop> shared;
    private final Map<URI, Deque<IdleConnection>> idle = new ConcurrentHashMap<>();
    private final ByteBufferPool buffers = new DefaultByteBufferPool(false, BUFFER_BYTES, MAX_POOLED_BUFFERS, 0);
    // Named rather than looked up, since a look-up of providers opens every library on the class path.
    private final ClientProvider provider = new HttpClientProvider();
    private XnioWorker worker;

    /**
     * Creates a client with threads of its own that is not started.
     *
     * @param ioThreads number of input/output threads
     */
    public HttpClient(int ioThreads) {
        this(ioThreads, ConnectionTimeouts.DEFAULT, Optional.empty());
    }

    /**
     * Creates a client on the thread of an event loop.
     *
     * @param loop the loop, which the caller starts and stops
     * @param limits times of connections
     */
    public HttpClient(EventLoop loop, ConnectionTimeouts limits) {
        this(1, limits, Optional.of(loop));
    }

    private HttpClient(int ioThreads, ConnectionTimeouts limits, Optional<EventLoop> shared) {
        this.ioThreads = ioThreads;
        this.limits = Objects.requireNonNull(limits, "limits is null");
        this.shared = shared;
    }

    @Override
    public void start() {
        if (shared.isPresent()) {
            worker = shared.get().worker();
            return;
        }
        try {
            worker = EventLoop.transport()
                    .createWorker(OptionMap.builder()
                            .set(Options.WORKER_IO_THREADS, ioThreads)
                            .set(Options.WORKER_TASK_CORE_THREADS, 1)
                            .set(Options.WORKER_TASK_MAX_THREADS, 1)
                            .set(Options.THREAD_DAEMON, true)
                            .set(Options.WORKER_NAME, "http-client")
                            .getMap());
        } catch (IOException e) {
            throw new IllegalStateException("cannot start the input/output threads", e);
        }
    }

    @Override
    public void stop() {
        idle.values().forEach(queue -> queue.forEach(waiting -> IoUtils.safeClose(waiting.connection())));
        idle.clear();
        if (shared.isEmpty()) {
            worker.shutdownNow();
        }
    }

    /**
     * Closes the idle connections to a peer.
     *
     * @param origin scheme, host and port of the peer
     */
    public void closeIdle(URI origin) {
        final Deque<IdleConnection> queue = idle.remove(origin);
        if (queue != null) {
            queue.forEach(waiting -> IoUtils.safeClose(waiting.connection()));
        }
    }

    /** Closes connections that have been idle for longer than the limit. */
    public void closeExpired() {
        final long now = System.nanoTime();
        idle.values()
                .forEach(queue -> queue.removeIf(waiting -> {
                    final boolean expired = !waiting.connection().isOpen()
                            || now - waiting.sinceNanos() > limits.keepAliveTimeout().toNanos();
                    if (expired) {
                        IoUtils.safeClose(waiting.connection());
                    }
                    return expired;
                }));
    }

    /**
     * Sends a request and collects the whole answer.
     *
     * @param call the request
     * @return the answer of any status; fails with {@link HttpRequestException}
     */
    public CompletableFuture<HttpResponse> send(HttpRequest call) {
        final Collector collector = new Collector();
        return stream(call, collector).finished().thenApply(ignored -> collector.answer());
    }

    /**
     * Sends a request and streams the answer.
     *
     * @param call the request
     * @param listener receiver of the answer
     * @return handle to wait for the end or cancel
     */
    public StreamHandle stream(HttpRequest call, StreamListener listener) {
        Objects.requireNonNull(call, "call is null");
        final ActiveRequest active = new ActiveRequest(call, listener, buffers, this::release);
        final ClientConnection pooled = call.freshConnection() ? null : takeIdle(call.origin());
        if (pooled != null && Thread.currentThread() == pooled.getIoThread()) {
            active.begin(pooled);
        } else if (pooled != null) {
            pooled.getIoThread().execute(() -> active.begin(pooled));
        } else {
            connect(call, active);
        }
        return active;
    }

    /**
     * Opens a connection and closes it again, to find out whether a peer can be reached.
     *
     * @param origin scheme, host and port of the peer
     * @return completes when the connection was established; fails with {@link HttpRequestException}
     */
    public CompletableFuture<Void> checkReachable(URI origin) {
        final CompletableFuture<Void> reached = new CompletableFuture<>();
        worker.getIoThread()
                .executeAfter(
                        () -> reached.completeExceptionally(new HttpRequestException(
                                HttpRequestException.Delivery.NOT_SENT, "connect timeout to " + origin, null)),
                        limits.connectTimeout().toMillis(),
                        TimeUnit.MILLISECONDS);
        provider.connect(
                new ClientCallback<>() {
                    @Override
                    public void completed(ClientConnection connection) {
                        IoUtils.safeClose(connection);
                        reached.complete(null);
                    }

                    @Override
                    public void failed(IOException e) {
                        reached.completeExceptionally(
                                new HttpRequestException(HttpRequestException.Delivery.NOT_SENT, "cannot connect to " + origin, e));
                    }
                },
                origin,
                worker,
                null,
                buffers,
                OptionMap.EMPTY);
        return reached;
    }

    private void connect(HttpRequest call, ActiveRequest active) {
        active.armConnectTimeout(worker.getIoThread(), limits.connectTimeout());
        provider.connect(
                new ClientCallback<>() {
                    @Override
                    public void completed(ClientConnection connection) {
                        if (Thread.currentThread() == connection.getIoThread()) {
                            active.begin(connection);
                        } else {
                            connection.getIoThread().execute(() -> active.begin(connection));
                        }
                    }

                    @Override
                    public void failed(IOException e) {
                        active.fail(HttpRequestException.Delivery.NOT_SENT, "cannot connect to " + call.origin(), e);
                    }
                },
                call.origin(),
                worker,
                null,
                buffers,
                OptionMap.create(Options.TCP_NODELAY, true));
    }

    private ClientConnection takeIdle(URI origin) {
        final Deque<IdleConnection> queue = idle.get(origin);
        if (queue == null) {
            return null;
        }
        final long now = System.nanoTime();
        for (IdleConnection waiting = queue.pollFirst(); waiting != null; waiting = queue.pollFirst()) {
            if (waiting.connection().isOpen()
                    && now - waiting.sinceNanos() <= limits.keepAliveTimeout().toNanos()) {
                return waiting.connection();
            }
            IoUtils.safeClose(waiting.connection());
        }
        return null;
    }

    private void release(URI origin, ClientConnection connection) {
        final Deque<IdleConnection> queue = idle.computeIfAbsent(origin, key -> new ConcurrentLinkedDeque<>());
        if (!connection.isOpen() || queue.size() >= MAX_IDLE_PER_ORIGIN) {
            IoUtils.safeClose(connection);
            return;
        }
        queue.addFirst(new IdleConnection(connection, System.nanoTime()));
    }

    private record IdleConnection(ClientConnection connection, long sinceNanos) {}

    private static final class Collector implements StreamListener {
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int status;
        private Map<String, String> headers = Map.of();

        @Override
        public void onHead(int answerStatus, Map<String, String> answerHeaders) {
            status = answerStatus;
            headers = answerHeaders;
        }

        @Override
        public void onBytes(byte[] bytes) {
            body.writeBytes(bytes);
        }

        HttpResponse answer() {
            return new HttpResponse(status, headers, body.toByteArray());
        }
    }
}
