package org.masticpaddle.wire;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;

/**
 * Listeners that run if a connection closes during an exchange.
 *
 * <p>Invariant: each connection has a single Undertow close listener, however many exchanges it carries, since Undertow
 * cannot remove close listeners; a listener of an exchange is removed when the exchange completes. Thread-safe.
 */
public final class CloseListeners {
    private static final AttachmentKey<CloseListeners> KEY = AttachmentKey.create(CloseListeners.class);

    private final List<Runnable> listeners = new ArrayList<>();

    private CloseListeners() {}

    /**
     * Registers a listener for the connection of an exchange.
     *
     * @param exchange exchange with whose completion the listener is removed
     * @param listener runs once if the connection closes before the exchange completes
     */
    public static void add(HttpServerExchange exchange, Runnable listener) {
        Objects.requireNonNull(listener, "listener is null");
        final CloseListeners registered = of(exchange.getConnection());
        synchronized (registered) {
            registered.listeners.add(listener);
        }
        exchange.addExchangeCompleteListener((completed, next) -> {
            registered.remove(listener);
            next.proceed();
        });
    }

    /**
     * Returns the number of listeners registered for the connection of an exchange.
     *
     * @param exchange any exchange of the connection
     * @return number of listeners, those of other exchanges included
     */
    public static int count(HttpServerExchange exchange) {
        final CloseListeners registered = of(exchange.getConnection());
        synchronized (registered) {
            return registered.listeners.size();
        }
    }

    private static CloseListeners of(ServerConnection connection) {
        synchronized (connection) {
            final CloseListeners existing = connection.getAttachment(KEY);
            if (existing != null) {
                return existing;
            }
            final CloseListeners created = new CloseListeners();
            connection.putAttachment(KEY, created);
            connection.addCloseListener(closed -> created.runAll());
            return created;
        }
    }

    private synchronized void remove(Runnable listener) {
        listeners.remove(listener);
    }

    private void runAll() {
        final List<Runnable> pending;
        synchronized (this) {
            pending = List.copyOf(listeners);
            listeners.clear();
        }
        pending.forEach(Runnable::run);
    }
}
