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

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.http.ConnectionSilence;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import org.masticpaddle.kernel.Service;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioWorker;

/**
 * Asynchronous HTTP client that pools idle connections per origin.
 *
 * <p>Invariants: a connection carries one request at a time; it is closed and never reused after a request that failed,
 * timed out or was cancelled, or after bytes that belong to no request; a request is written at most once, as the client
 * does not retry. Thread-safe.
 */
public final class HttpClient implements Service, StreamClient {
    private static final int BUFFER_BYTES = 8 * 1024;
    private static final int MAX_POOLED_BUFFERS = 256;
    private static final int MAX_IDLE_PER_ORIGIN = 64;
    /** Largest body that is collected; several times the largest page of the log. */
    private static final int MAX_COLLECTED_BYTES = 16 * 1024 * 1024;

    private final int ioThreads;
    private final ConnectionTimeouts timeouts;
    private final Optional<EventLoop> sharedLoop;
    private final Map<URI, Deque<IdleConnection>> idleConnections = new ConcurrentHashMap<>();
    private final ByteBufferPool buffers = new DefaultByteBufferPool(false, BUFFER_BYTES, MAX_POOLED_BUFFERS, 0);
    private XnioWorker worker;

    /**
     * Creates a client with its own I/O threads, which {@link #start()} starts.
     *
     * @param ioThreads number of I/O threads
     */
    public HttpClient(int ioThreads) {
        this(ioThreads, ConnectionTimeouts.DEFAULT, Optional.empty());
    }

    /**
     * Creates a client that uses the thread of an event loop.
     *
     * @param loop event loop, which the caller starts and stops
     * @param timeouts timeouts of the connections
     */
    public HttpClient(EventLoop loop, ConnectionTimeouts timeouts) {
        this(1, timeouts, Optional.of(loop));
    }

    private HttpClient(int ioThreads, ConnectionTimeouts timeouts, Optional<EventLoop> sharedLoop) {
        this.ioThreads = ioThreads;
        this.timeouts = Objects.requireNonNull(timeouts, "timeouts is null");
        this.sharedLoop = sharedLoop;
    }

    @Override
    public void start() {
        if (sharedLoop.isPresent()) {
            worker = sharedLoop.get().worker();
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
            throw new IllegalStateException("cannot start the I/O threads", e);
        }
    }

    @Override
    public void stop() {
        idleConnections
                .values()
                .forEach(connections -> connections.forEach(pooled -> IoUtils.safeClose(pooled.connection())));
        idleConnections.clear();
        if (sharedLoop.isEmpty()) {
            worker.shutdownNow();
        }
    }

    @Override
    public void closeIdle(URI origin) {
        final Deque<IdleConnection> connections = idleConnections.remove(origin);
        if (connections != null) {
            connections.forEach(pooled -> IoUtils.safeClose(pooled.connection()));
        }
    }

    /** Closes connections that have been idle for longer than the keep-alive timeout, and forgets peers without connections. */
    public void closeExpired() {
        final long now = System.nanoTime();
        idleConnections
                .keySet()
                .forEach(origin -> idleConnections.computeIfPresent(origin, (key, connections) -> {
                    connections.removeIf(pooled -> {
                        final boolean expired = !pooled.connection().isOpen()
                                || now - pooled.sinceNanos()
                                        > timeouts.keepAliveTimeout().toNanos();
                        if (expired) {
                            IoUtils.safeClose(pooled.connection());
                        }
                        return expired;
                    });
                    return connections.isEmpty() ? null : connections;
                }));
    }

    /** Returns the number of peers for which anything is kept. */
    int idleOrigins() {
        return idleConnections.size();
    }

    /**
     * Sends a request and collects the whole response.
     *
     * @param request request to send
     * @return response with any status; fails with {@link HttpRequestException} if there is no complete response
     */
    public CompletableFuture<HttpResponse> send(HttpRequest request) {
        final ResponseCollector collector = new ResponseCollector();
        return stream(request, collector).finished().thenApply(ignored -> collector.response());
    }

    @Override
    public StreamHandle stream(HttpRequest request, StreamListener listener) {
        Objects.requireNonNull(request, "request is null");
        final ActiveRequest active = new ActiveRequest(request, listener, buffers, this::release);
        final ClientConnection pooled = request.freshConnection() ? null : takeIdle(request.origin());
        if (pooled != null && Thread.currentThread() == pooled.getIoThread()) {
            sendOnIdle(pooled, request, active);
        } else if (pooled != null) {
            pooled.getIoThread().execute(() -> sendOnIdle(pooled, request, active));
        } else {
            connect(request, active);
        }
        return active;
    }

    /**
     * Checks whether a peer accepts connections: opens a connection and closes it at once.
     *
     * @param origin scheme, host and port of the peer
     * @return completes when the connection is established; fails with {@link HttpRequestException} otherwise
     */
    public CompletableFuture<Void> checkReachable(URI origin) {
        final CompletableFuture<Void> reached = new CompletableFuture<>();
        LoopTimeout.start(
                worker.getIoThread(),
                timeouts.connectTimeout(),
                reached::isDone,
                () -> reached.completeExceptionally(new HttpRequestException(
                        HttpRequestException.Delivery.NOT_SENT, "connect timeout to " + origin, null)));
        open(origin, OptionMap.EMPTY, new ClientCallback<>() {
            @Override
            public void completed(ClientConnection connection) {
                IoUtils.safeClose(connection);
                reached.complete(null);
            }

            @Override
            public void failed(IOException e) {
                reached.completeExceptionally(new HttpRequestException(
                        HttpRequestException.Delivery.NOT_SENT, "cannot connect to " + origin, e));
            }
        });
        return reached;
    }

    /** Sends on an idle connection, or on a new one if the peer has closed it or has sent bytes that nobody asked for. */
    private void sendOnIdle(ClientConnection pooled, HttpRequest request, ActiveRequest active) {
        if (ConnectionSilence.holds(pooled)) {
            active.sendOn(pooled);
        } else {
            IoUtils.safeClose(pooled);
            connect(request, active);
        }
    }

    private void connect(HttpRequest request, ActiveRequest active) {
        active.armConnectTimeout(worker.getIoThread(), timeouts.connectTimeout());
        open(request.origin(), OptionMap.create(Options.TCP_NODELAY, true), new ClientCallback<>() {
            @Override
            public void completed(ClientConnection connection) {
                if (Thread.currentThread() == connection.getIoThread()) {
                    active.sendOn(connection);
                } else {
                    connection.getIoThread().execute(() -> active.sendOn(connection));
                }
            }

            @Override
            public void failed(IOException e) {
                active.fail(HttpRequestException.Delivery.NOT_SENT, "cannot connect to " + request.origin(), e);
            }
        });
    }

    private void open(URI origin, OptionMap options, ClientCallback<ClientConnection> callback) {
        try {
            CheckedResponses.connect(callback, origin, worker, buffers, options);
        } catch (RuntimeException e) {
            // Thrown for an address that no connection can be opened to, such as one with a port out of range.
            callback.failed(new IOException(e));
        }
    }

    private ClientConnection takeIdle(URI origin) {
        final Deque<IdleConnection> connections = idleConnections.get(origin);
        if (connections == null) {
            return null;
        }
        final long now = System.nanoTime();
        for (IdleConnection pooled = connections.pollFirst(); pooled != null; pooled = connections.pollFirst()) {
            if (pooled.connection().isOpen()
                    && now - pooled.sinceNanos() <= timeouts.keepAliveTimeout().toNanos()) {
                return pooled.connection();
            }
            IoUtils.safeClose(pooled.connection());
        }
        return null;
    }

    private void release(URI origin, ClientConnection connection) {
        idleConnections.compute(origin, (key, present) -> {
            final Deque<IdleConnection> connections = present == null ? new ConcurrentLinkedDeque<>() : present;
            if (connection.isOpen() && connections.size() < MAX_IDLE_PER_ORIGIN) {
                connections.addFirst(new IdleConnection(connection, System.nanoTime()));
            } else {
                IoUtils.safeClose(connection);
            }
            return connections;
        });
    }

    private record IdleConnection(ClientConnection connection, long sinceNanos) {}

    /** Collects a response; refuses a body that is too large, which makes the request fail. Not thread-safe. */
    private static final class ResponseCollector implements StreamListener {
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int status;
        private Map<String, String> headers = Map.of();

        @Override
        public void onHead(int responseStatus, Map<String, String> responseHeaders) {
            status = responseStatus;
            headers = responseHeaders;
        }

        @Override
        public void onBytes(byte[] bytes) {
            if (body.size() + bytes.length > MAX_COLLECTED_BYTES) {
                throw new IllegalStateException("the body exceeds " + MAX_COLLECTED_BYTES + " bytes");
            }
            body.writeBytes(bytes);
        }

        HttpResponse response() {
            return new HttpResponse(status, headers, body.toByteArray());
        }
    }
}
