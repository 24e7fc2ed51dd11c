package org.masticpaddle.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Collections;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.WeakHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import io.undertow.UndertowOptions;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpOpenListener;
import org.masticpaddle.kernel.Service;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * HTTP server on one address, backed by Undertow.
 *
 * <p>Invariant: an I/O thread reads new connections as it reads the others, once the operating system reports them as readable,
 * so that connections which follow each other without a pause leave time for open connections and timers.
 *
 * <p>{@link #start()} and {@link #stop()} must be called by one thread; the handler is called by several.
 */
public final class HttpServer implements Service {
    // Above this limit, Undertow responds without a body; handlers that send a typed error apply a lower limit.
    private static final int MAX_HEADER_BYTES = 64 * 1024;
    private static final int MAX_HEADERS = 100;
    // Limits how long stop() waits for peers that do not read their response; the requests have been processed by then.
    private static final long STOP_TIMEOUT_NANOS = 2_000_000_000L;
    // One read of this size holds most requests.
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int MAX_BUFFERS_OF_A_THREAD = 4;
    // Connections that the operating system has established and the server has not accepted.
    private static final int BACKLOG = 1_000;
    private static final int NO_REQUEST_TIMEOUT_MILLIS = 60_000;
    private static final long STOP_POLL_INTERVAL_NANOS = 5_000_000L;
    private static final int REQUEST_PARSE_TIMEOUT_MILLIS = 10_000;

    // Undertow's body limit as a multiple of maxBodyBytes. Above its limit, Undertow closes the connection without a
    // response and prints a stack trace, so the receiver of the body enforces the lower limit maxBodyBytes. Undertow's
    // limit applies only to the bytes that are skipped of a body that no handler reads.
    private static final long ENTITY_LIMIT_FACTOR = 4;

    private final String host;
    private final int port;
    private final int ioThreads;
    private final long maxBodyBytes;
    private final HttpHandler handler;
    private final Optional<EventLoop> sharedLoop;
    // Weak references, since an exchange whose connection closes early never completes.
    private final Set<HttpServerExchange> openExchanges =
            Collections.synchronizedSet(Collections.newSetFromMap(new WeakHashMap<>()));
    private XnioWorker worker;
    private AcceptingChannel<StreamConnection> listener;
    private boolean acceptsAtStart = true;

    /**
     * Creates a server with its own I/O threads, which {@link #start()} starts.
     *
     * @param host IP address to bind
     * @param port port to bind, 0 to let the operating system choose
     * @param ioThreads number of I/O threads
     * @param maxBodyBytes largest request body; a handler that reads a larger one gets an error
     * @param handler handler of all requests, called on an I/O thread
     */
    public HttpServer(String host, int port, int ioThreads, long maxBodyBytes, HttpHandler handler) {
        this(host, port, ioThreads, maxBodyBytes, handler, Optional.empty());
    }

    /**
     * Creates a server that uses the thread of an event loop.
     *
     * @param host IP address to bind
     * @param port port to bind, 0 to let the operating system choose
     * @param loop event loop, which the caller starts and stops
     * @param maxBodyBytes largest request body; a handler that reads a larger one gets an error
     * @param handler handler of all requests, called on the loop's thread
     */
    public HttpServer(String host, int port, EventLoop loop, long maxBodyBytes, HttpHandler handler) {
        this(host, port, 1, maxBodyBytes, handler, Optional.of(loop));
    }

    private HttpServer(
            String host,
            int port,
            int ioThreads,
            long maxBodyBytes,
            HttpHandler handler,
            Optional<EventLoop> sharedLoop) {
        this.sharedLoop = sharedLoop;
        this.host = Objects.requireNonNull(host, "host is null");
        this.port = port;
        this.ioThreads = ioThreads;
        this.maxBodyBytes = maxBodyBytes;
        this.handler = Objects.requireNonNull(handler, "handler is null");
    }

    /** Lets connections wait in the queue of the operating system from {@link #start()} until {@link #accept()}. */
    public void acceptLater() {
        acceptsAtStart = false;
    }

    /** Accepts connections, if the started server does not yet. May be called by any thread. */
    public void accept() {
        listener.resumeAccepts();
    }

    @Override
    public void start() {
        final HttpOpenListener openListener = new HttpOpenListener(
                new DefaultByteBufferPool(true, BUFFER_BYTES, -1, MAX_BUFFERS_OF_A_THREAD),
                OptionMap.builder()
                        .set(UndertowOptions.BUFFER_PIPELINED_DATA, true)
                        .set(UndertowOptions.MAX_ENTITY_SIZE, ENTITY_LIMIT_FACTOR * maxBodyBytes)
                        .set(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                        .set(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
                        .set(UndertowOptions.ALWAYS_SET_DATE, false)
                        .set(UndertowOptions.NO_REQUEST_TIMEOUT, NO_REQUEST_TIMEOUT_MILLIS)
                        .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, REQUEST_PARSE_TIMEOUT_MILLIS)
                        .getMap());
        openListener.setRootHandler(this::handle);
        try {
            worker = sharedLoop.isPresent() ? sharedLoop.get().worker() : createWorker();
            listener = worker.createStreamConnectionServer(
                    new InetSocketAddress(host, port),
                    ChannelListeners.openListenerAdapter((StreamConnection connection) -> {
                        DeferredRead.install(connection);
                        openListener.handleEvent(connection);
                    }),
                    OptionMap.builder()
                            .set(Options.TCP_NODELAY, true)
                            .set(Options.REUSE_ADDRESSES, true)
                            .set(Options.BACKLOG, BACKLOG)
                            .set(Options.BALANCING_TOKENS, 1)
                            .set(Options.BALANCING_CONNECTIONS, 2)
                            .getMap());
        } catch (IOException e) {
            throw new IllegalStateException("cannot listen on " + host + ":" + port, e);
        }
        if (acceptsAtStart) {
            accept();
        }
    }

    private XnioWorker createWorker() throws IOException {
        return EventLoop.transport()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, ioThreads)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, Math.max(2, ioThreads))
                        .set(Options.TCP_NODELAY, true)
                        .set(Options.WORKER_NAME, "http-server")
                        .getMap());
    }

    /**
     * Waits until the open exchanges have sent their responses, for two seconds at most, and closes all connections. On a shared
     * loop, stops to listen only, since the owner of the loop ends the exchanges within the time that it has for its stop. Has no
     * effect on a server that was stopped.
     */
    @Override
    public void stop() {
        if (!listener.isOpen()) {
            return;
        }
        if (sharedLoop.isPresent()) {
            IoUtils.safeClose(listener);
            return;
        }
        final long deadline = System.nanoTime() + STOP_TIMEOUT_NANOS;
        while (hasOpenExchanges() && System.nanoTime() < deadline) {
            LockSupport.parkNanos(STOP_POLL_INTERVAL_NANOS);
        }
        IoUtils.safeClose(listener);
        worker.shutdownNow();
        awaitTermination();
    }

    private void awaitTermination() {
        try {
            worker.awaitTermination(STOP_TIMEOUT_NANOS, TimeUnit.NANOSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void handle(HttpServerExchange exchange) throws Exception {
        openExchanges.add(exchange);
        exchange.addExchangeCompleteListener((completed, next) -> {
            openExchanges.remove(completed);
            next.proceed();
        });
        exchange.putAttachment(Exchanges.MAX_BODY_BYTES, (int) Math.min(Integer.MAX_VALUE, maxBodyBytes));
        handler.handleRequest(exchange);
    }

    private boolean hasOpenExchanges() {
        synchronized (openExchanges) {
            return openExchanges.stream()
                    .anyMatch(exchange -> exchange.getConnection().isOpen());
        }
    }

    /**
     * Returns the port on which the started server listens.
     *
     * @return configured port, or the one that the operating system chose
     */
    public int port() {
        return listener.getLocalAddress(InetSocketAddress.class).getPort();
    }
}
