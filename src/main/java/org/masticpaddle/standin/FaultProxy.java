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
 * TCP proxy on the loopback interface that injects network faults in front of any address.
 *
 * <p>Invariants: one selector thread serves all connections; each direction of a connection buffers at most 1 MiB. A
 * method that changes a fault returns once the change is in effect, and does nothing while the proxy is not running.
 * Thread-safe after {@link #start()}.
 */
public final class FaultProxy implements Service {
    private static final Logger LOGGER = LogManager.getLogger(FaultProxy.class);
    private static final long TASK_TIMEOUT_SECONDS = 10;

    private volatile InetSocketAddress target;
    private final List<ProxyConnection> connections = new ArrayList<>();
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final ProxyFaults faults = new ProxyFaults();
    private Selector selector;
    private ServerSocketChannel listener;
    private volatile int port;
    private volatile boolean running;
    private volatile int acceptedConnections;

    /**
     * Creates a proxy that is not yet listening.
     *
     * @param target host and port to forward to; the scheme is ignored
     */
    public FaultProxy(URI target) {
        retarget(target);
    }

    /**
     * Forwards new connections to another address, for example after the target restarted on another port. Open
     * connections keep their target.
     *
     * @param address host and port to forward to; the scheme is ignored
     */
    public void retarget(URI address) {
        Objects.requireNonNull(address, "address is null");
        target = new InetSocketAddress(address.getHost(), address.getPort());
    }

    @Override
    public void start() {
        try {
            selector = Selector.open();
            openListener();
        } catch (IOException e) {
            throw new IllegalStateException("cannot open the proxy's listening socket", e);
        }
        running = true;
        final Thread thread = new Thread(this::runEventLoop, "fault-proxy");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void stop() {
        runOnSelectorThread(() -> {
            running = false;
            connections.forEach(ProxyConnection::close);
            connections.clear();
            closeListener();
        });
    }

    /**
     * Returns the address that the proxy listens on.
     *
     * @return scheme, host and port
     */
    public URI origin() {
        return URI.create("http://127.0.0.1:" + port);
    }

    /**
     * Delays all bytes that are read from now on in one direction.
     *
     * @param direction direction to delay
     * @param millis delay in milliseconds, 0 for none
     */
    public void delay(Direction direction, long millis) {
        runOnSelectorThread(() -> faults.setDelay(direction, millis));
    }

    /**
     * Drops all bytes of one direction, buffered ones included, on the connections that are open now. These connections
     * stay open and never recover; new connections are not affected.
     *
     * @param direction direction to drop
     */
    public void stallOpenConnections(Direction direction) {
        runOnSelectorThread(() -> connections.forEach(connection -> connection.stall(direction)));
    }

    /**
     * Drops all bytes in both directions on open and new connections, and keeps the connections open.
     *
     * @param on whether to drop
     */
    public void blackhole(boolean on) {
        runOnSelectorThread(() -> faults.setBlackhole(on));
    }

    /**
     * Refuses new connections by closing the listening socket, or accepts them again.
     *
     * @param on whether to refuse
     */
    public void refuseConnections(boolean on) {
        runOnSelectorThread(() -> {
            try {
                if (on) {
                    closeListener();
                } else if (!listener.isOpen()) {
                    openListener();
                }
            } catch (IOException e) {
                throw new IllegalStateException("cannot reopen the listening socket on port " + port, e);
            }
        });
    }

    /** Closes all open connections with a TCP reset. */
    public void resetConnections() {
        runOnSelectorThread(() -> {
            connections.forEach(ProxyConnection::reset);
            connections.clear();
        });
    }

    /** Ends delays, the black hole and the refusal of connections. Stalled connections stay stalled. */
    public void clearFaults() {
        for (final Direction direction : Direction.values()) {
            delay(direction, 0);
        }
        blackhole(false);
        refuseConnections(false);
    }

    /**
     * Counts the connections accepted since the proxy was created.
     *
     * @return number of connections
     */
    public int acceptedConnections() {
        return acceptedConnections;
    }

    private void openListener() throws IOException {
        listener = ServerSocketChannel.open();
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port));
        port = ((InetSocketAddress) listener.getLocalAddress()).getPort();
        listener.configureBlocking(false);
        listener.register(selector, SelectionKey.OP_ACCEPT);
    }

    private void closeListener() {
        try {
            listener.close();
            // A registered channel's socket is not closed until its key is removed by the next selection.
            selector.selectNow();
        } catch (IOException e) {
            LOGGER.warn("failed to close the proxy's listening socket", e);
        }
    }

    private void runOnSelectorThread(Runnable task) {
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
        done.orTimeout(TASK_TIMEOUT_SECONDS, TimeUnit.SECONDS).join();
    }

    private void runEventLoop() {
        try (Selector openSelector = selector) {
            while (running) {
                openSelector.select(selectTimeoutMillis());
                for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
                    task.run();
                }
                if (running) {
                    openSelector.selectedKeys().forEach(this::handleKey);
                    openSelector.selectedKeys().clear();
                    connections.forEach(ProxyConnection::transfer);
                    connections.removeIf(ProxyConnection::closed);
                }
            }
        } catch (IOException e) {
            LOGGER.error("the proxy's selector failed", e);
        }
    }

    private long selectTimeoutMillis() {
        long timeoutMillis = TimeUnit.SECONDS.toMillis(1);
        for (final ProxyConnection connection : connections) {
            timeoutMillis = Math.min(timeoutMillis, connection.millisUntilDue());
        }
        return Math.max(1, timeoutMillis);
    }

    private void handleKey(SelectionKey key) {
        if (key.isValid() && key.isAcceptable()) {
            accept();
        } else if (key.attachment() instanceof ProxyConnection connection) {
            connection.handleReady(key);
        }
    }

    private void accept() {
        try {
            final SocketChannel client = listener.accept();
            if (client != null) {
                acceptedConnections++;
                connections.add(new ProxyConnection(client, target, selector, faults));
            }
        } catch (IOException e) {
            LOGGER.debug("failed to open a proxied connection", e);
        }
    }

    /** Direction in which the proxy forwards bytes. */
    public enum Direction {
        /** From the client to the target. */
        TO_TARGET,
        /** From the target to the client. */
        TO_CLIENT
    }
}
