package org.masticpaddle.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticpaddle.kernel.Service;

/**
 * TCP proxy on loopback that injects faults in front of any address.
 *
 * <p>Invariants: one thread serves all connections; each direction of a connection buffers a bounded number of bytes. A
 * method that switches a fault returns when the fault is in effect. Thread-safe after the start.
 */
public final class FaultProxy implements Service {
    private static final Logger LOGGER = LogManager.getLogger(FaultProxy.class);
    private static final long CALL_TIMEOUT_SECONDS = 10;

    private volatile InetSocketAddress target;
    private final List<ProxyConnection> links = new ArrayList<>();
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final ProxyFaults rules = new ProxyFaults();
    private Selector selector;
    private ServerSocketChannel listener;
    private volatile int port;
    private volatile boolean running;
    private volatile int acceptedConnections;

    /**
     * Creates a proxy.
     *
     * @param target host and port that it forwards to; the scheme is ignored
     */
    public FaultProxy(URI target) {
        retarget(target);
    }

    /**
     * Sends later connections to another address, for a target that was restarted. Open ones keep theirs.
     *
     * @param address host and port; the scheme is ignored
     */
    public void retarget(URI address) {
        Objects.requireNonNull(address, "address is null");
        target = new InetSocketAddress(address.getHost(), address.getPort());
    }

    @Override
    public void start() {
        try {
            selector = Selector.open();
            listen();
        } catch (IOException e) {
            throw new IllegalStateException("cannot start the proxy", e);
        }
        running = true;
        final Thread thread = new Thread(this::run, "fault-proxy");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void stop() {
        call(() -> {
            running = false;
            links.forEach(ProxyConnection::close);
            links.clear();
            closeListener();
        });
    }

    /**
     * Returns the proxy's own address.
     *
     * @return scheme, host and port
     */
    public URI origin() {
        return URI.create("http://127.0.0.1:" + port);
    }

    /**
     * Delays all bytes of a direction.
     *
     * @param direction the direction
     * @param millis delay in milliseconds, 0 for none
     */
    public void delay(Direction direction, long millis) {
        call(() -> rules.delay(direction, millis));
    }

    /**
     * Drops all later bytes of the connections that are open now, while new ones work. It cannot be undone for them.
     *
     * @param direction the direction
     */
    public void stallOpenConnections(Direction direction) {
        call(() -> links.forEach(link -> link.silence(direction)));
    }

    /**
     * Drops all bytes in both directions, of open and of new connections, which stay open.
     *
     * @param on whether to drop
     */
    public void blackhole(boolean on) {
        call(() -> rules.blackhole(on));
    }

    /**
     * Refuses new connections by closing the listening socket.
     *
     * @param on whether to refuse
     */
    public void refuseConnections(boolean on) {
        call(() -> {
            try {
                if (on) {
                    closeListener();
                } else if (!listener.isOpen()) {
                    listen();
                }
            } catch (IOException e) {
                throw new IllegalStateException("cannot listen again on port " + port, e);
            }
        });
    }

    /** Resets all open connections. */
    public void resetConnections() {
        call(() -> {
            links.forEach(ProxyConnection::reset);
            links.clear();
        });
    }

    /** Ends delay, black hole and refusal. */
    public void clearFaults() {
        for (final Direction direction : Direction.values()) {
            delay(direction, 0);
        }
        blackhole(false);
        refuseConnections(false);
    }

    /**
     * Counts the connections accepted so far.
     *
     * @return number of connections
     */
    public int acceptedConnections() {
        return acceptedConnections;
    }

    private void listen() throws IOException {
        listener = ServerSocketChannel.open();
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port));
        port = ((InetSocketAddress) listener.getLocalAddress()).getPort();
        listener.configureBlocking(false);
        listener.register(selector, SelectionKey.OP_ACCEPT);
    }

    private void closeListener() {
        try {
            listener.close();
            // The socket of a registered channel is closed by the next selection only.
            selector.selectNow();
        } catch (IOException e) {
            LOGGER.warn("the proxy's listening socket did not close", e);
        }
    }

    private void call(Runnable task) {
        if (!running) {
            return;
        }
        final CompletableFuture<Void> done = new CompletableFuture<>();
        tasks.add(() -> {
            try {
                task.run();
                done.complete(null);
            } catch (RuntimeException e) {
                done.completeExceptionally(e);
            }
        });
        selector.wakeup();
        done.orTimeout(CALL_TIMEOUT_SECONDS, TimeUnit.SECONDS).join();
    }

    private void run() {
        try (Selector closing = selector) {
            while (running) {
                closing.select(waitMillis());
                for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
                    task.run();
                }
                if (running) {
                    closing.selectedKeys().forEach(this::serve);
                    closing.selectedKeys().clear();
                    links.forEach(ProxyConnection::pump);
                    links.removeIf(ProxyConnection::closed);
                }
            }
        } catch (IOException e) {
            LOGGER.error("the proxy's selector failed", e);
        }
    }

    private long waitMillis() {
        long wait = TimeUnit.SECONDS.toMillis(1);
        for (final ProxyConnection link : links) {
            wait = Math.min(wait, link.waitMillis());
        }
        return Math.max(1, wait);
    }

    private void serve(SelectionKey key) {
        if (key.isValid() && key.isAcceptable()) {
            accept();
        } else if (key.attachment() instanceof ProxyConnection link) {
            link.ready(key);
        }
    }

    private void accept() {
        try {
            final SocketChannel client = listener.accept();
            if (client != null) {
                acceptedConnections++;
                links.add(new ProxyConnection(client, target, selector, rules));
            }
        } catch (IOException e) {
            LOGGER.debug("a connection through the proxy failed to open", e);
        }
    }

    /** Direction of bytes through the proxy. */
    public enum Direction {
        /** From the client to the target. */
        TO_TARGET,
        /** From the target to the client. */
        TO_CLIENT
    }
}
