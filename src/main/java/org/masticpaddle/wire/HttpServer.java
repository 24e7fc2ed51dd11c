package org.masticpaddle.wire;

import java.net.InetSocketAddress;
import java.util.Collections;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.WeakHashMap;
import java.util.concurrent.locks.LockSupport;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import org.masticpaddle.kernel.Service;

/**
 * HTTP server on one address, backed by Undertow.
 *
 * <p>{@link #start()} and {@link #stop()} must be called by one thread; the handler is called by several.
 */
public final class HttpServer implements Service {
    // Above this limit, Undertow responds without a body; handlers that send a typed error apply a lower limit.
    private static final int MAX_HEADER_BYTES = 64 * 1024;
    private static final int MAX_HEADERS = 100;
    // Limits how long stop() waits for peers that do not read their response; the requests have been processed by then.
    private static final long STOP_TIMEOUT_NANOS = 2_000_000_000L;
    // The owner of a shared loop ends the exchanges itself, within the time that it has for its stop.
    private static final long SHARED_LOOP_STOP_TIMEOUT_NANOS = 200_000_000L;
    // One read of this size holds most requests; on a small heap, Undertow would choose smaller buffers.
    private static final int SHARED_LOOP_BUFFER_BYTES = 16 * 1024;
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
    private Undertow undertow;

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

    @Override
    public void start() {
        final Undertow.Builder builder = Undertow.builder();
        sharedLoop.ifPresent(loop -> builder.setWorker(loop.worker()).setBufferSize(SHARED_LOOP_BUFFER_BYTES));
        undertow = builder.addHttpListener(port, host)
                .setIoThreads(ioThreads)
                .setWorkerThreads(Math.max(2, ioThreads))
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, ENTITY_LIMIT_FACTOR * maxBodyBytes)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                .setServerOption(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
                .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, REQUEST_PARSE_TIMEOUT_MILLIS)
                .setHandler(this::handle)
                .build();
        undertow.start();
    }

    /**
     * Waits until the open exchanges have sent their responses, for two seconds at most, or for a fifth of a second on a shared
     * loop; then closes all connections.
     */
    @Override
    public void stop() {
        final long deadline =
                System.nanoTime() + (sharedLoop.isPresent() ? SHARED_LOOP_STOP_TIMEOUT_NANOS : STOP_TIMEOUT_NANOS);
        while (hasOpenExchanges() && System.nanoTime() < deadline) {
            LockSupport.parkNanos(STOP_POLL_INTERVAL_NANOS);
        }
        undertow.stop();
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
        return ((InetSocketAddress) undertow.getListenerInfo().get(0).getAddress()).getPort();
    }
}
