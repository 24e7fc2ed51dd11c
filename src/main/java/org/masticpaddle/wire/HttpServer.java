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

/** Undertow server on one address. Start and stop are called by one thread; the handler is called by several. */
public final class HttpServer implements Service {
    // Undertow answers without a body above this; handlers that want typed answers have a lower limit.
    private static final int MAX_HEADER_BYTES = 64 * 1024;
    private static final int MAX_HEADERS = 100;
    // Bounds a stop whose peers do not read; requests themselves have ended before.
    private static final long STOP_NANOS = 2_000_000_000L;
    // One read takes most requests, also where a small heap would make Undertow choose small buffers.
    private static final int SHARED_BUFFER_BYTES = 16 * 1024;
    private static final long POLL_NANOS = 5_000_000L;
    private static final int REQUEST_PARSE_TIMEOUT_MILLIS = 10_000;

    // Undertow ends a connection above its own limit without an answer and prints a stack trace, so the receiver of the
    // body has the lower limit. Undertow's one bounds what is skipped of a body that nobody reads.
    private static final long DRAINED_SIZES = 4;

    private final String host;
    private final int port;
    private final int ioThreads;
    private final long maxBodyBytes;
    private final HttpHandler handler;
    private final Optional<EventLoop> shared;
    // Weak, since an exchange whose connection was closed under it is never completed.
    private final Set<HttpServerExchange> active =
            Collections.synchronizedSet(Collections.newSetFromMap(new WeakHashMap<>()));
    private Undertow undertow;

    /**
     * Creates a server that is not started.
     *
     * @param host IP number to bind
     * @param port port to bind, 0 to let the operating system choose
     * @param ioThreads number of input/output threads
     * @param maxBodyBytes bodies above this size are refused
     * @param handler handler of all requests, called on an input/output thread
     */
    public HttpServer(String host, int port, int ioThreads, long maxBodyBytes, HttpHandler handler) {
        this(host, port, ioThreads, maxBodyBytes, handler, Optional.empty());
    }

    /**
     * Creates a server on the thread of an event loop.
     *
     * @param host IP number to bind
     * @param port port to bind, 0 to let the operating system choose
     * @param loop the loop, which the caller starts and stops
     * @param maxBodyBytes bodies above this size are refused
     * @param handler handler of all requests, called on the loop's thread
     */
    public HttpServer(String host, int port, EventLoop loop, long maxBodyBytes, HttpHandler handler) {
        this(host, port, 1, maxBodyBytes, handler, Optional.of(loop));
    }

    private HttpServer(
            String host, int port, int ioThreads, long maxBodyBytes, HttpHandler handler, Optional<EventLoop> shared) {
        this.shared = shared;
        this.host = Objects.requireNonNull(host, "host is null");
        this.port = port;
        this.ioThreads = ioThreads;
        this.maxBodyBytes = maxBodyBytes;
        this.handler = Objects.requireNonNull(handler, "handler is null");
    }

    @Override
    public void start() {
        final Undertow.Builder builder = Undertow.builder();
        shared.ifPresent(loop -> builder.setWorker(loop.worker()).setBufferSize(SHARED_BUFFER_BYTES));
        undertow = builder.addHttpListener(port, host)
                .setIoThreads(ioThreads)
                .setWorkerThreads(Math.max(2, ioThreads))
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, DRAINED_SIZES * maxBodyBytes)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                .setServerOption(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
                .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, REQUEST_PARSE_TIMEOUT_MILLIS)
                .setHandler(this::handle)
                .build();
        undertow.start();
    }

    /** Lets the running exchanges send their answers, for up to two seconds, and closes all connections. */
    @Override
    public void stop() {
        final long end = System.nanoTime() + STOP_NANOS;
        while (answering() && System.nanoTime() < end) {
            LockSupport.parkNanos(POLL_NANOS);
        }
        undertow.stop();
    }

    private void handle(HttpServerExchange exchange) throws Exception {
        active.add(exchange);
        exchange.addExchangeCompleteListener((ended, next) -> {
            active.remove(ended);
            next.proceed();
        });
        exchange.getRequestReceiver().setMaxBufferSize((int) Math.min(Integer.MAX_VALUE, maxBodyBytes));
        handler.handleRequest(exchange);
    }

    private boolean answering() {
        synchronized (active) {
            return active.stream().anyMatch(exchange -> exchange.getConnection().isOpen());
        }
    }

    /**
     * Returns the port in use.
     *
     * @return the port, also when the operating system chose it
     */
    public int port() {
        return ((InetSocketAddress) undertow.getListenerInfo().get(0).getAddress()).getPort();
    }
}
