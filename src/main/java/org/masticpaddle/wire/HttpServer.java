package org.masticpaddle.wire;

import java.net.InetSocketAddress;
import java.util.Objects;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import org.masticpaddle.kernel.Service;

/** Undertow server on one address. Start and stop are called by one thread; the handler is called by several. */
public final class HttpServer implements Service {
    // Undertow answers without a body above this; handlers that want typed answers have a lower limit.
    private static final int MAX_HEADER_BYTES = 64 * 1024;
    private static final int MAX_HEADERS = 100;
    private static final int REQUEST_PARSE_TIMEOUT_MILLIS = 10_000;

    // Undertow ends a connection above its own limit without an answer and prints a stack trace, so the receiver of the
    // body has the lower limit. Undertow's one bounds what is skipped of a body that nobody reads.
    private static final long DRAINED_SIZES = 4;

    private final String host;
    private final int port;
    private final int ioThreads;
    private final long maxBodyBytes;
    private final HttpHandler handler;
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
        this.host = Objects.requireNonNull(host, "host is null");
        this.port = port;
        this.ioThreads = ioThreads;
        this.maxBodyBytes = maxBodyBytes;
        this.handler = Objects.requireNonNull(handler, "handler is null");
    }

    @Override
    public void start() {
        undertow = Undertow.builder()
                .addHttpListener(port, host)
                .setIoThreads(ioThreads)
                .setWorkerThreads(Math.max(2, ioThreads))
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, DRAINED_SIZES * maxBodyBytes)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                .setServerOption(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, REQUEST_PARSE_TIMEOUT_MILLIS)
                .setHandler(exchange -> {
                    exchange.getRequestReceiver().setMaxBufferSize((int) Math.min(Integer.MAX_VALUE, maxBodyBytes));
                    handler.handleRequest(exchange);
                })
                .build();
        undertow.start();
    }

    @Override
    public void stop() {
        undertow.stop();
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
