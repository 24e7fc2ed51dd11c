package org.masticpaddle.wire;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;

/**
 * Actions for a peer that closes its connection during an exchange.
 *
 * <p>Invariant: a connection has one close listener however many exchanges it carries, since listeners cannot be removed;
 * an action is forgotten with its exchange. Thread-safe.
 */
public final class CloseListeners {
    private static final AttachmentKey<CloseListeners> KEY = AttachmentKey.create(CloseListeners.class);

    private final List<Runnable> actions = new ArrayList<>();

    private CloseListeners() {}

    /**
     * Adds an action.
     *
     * @param exchange the exchange
     * @param action runs once if the connection closes before the exchange is complete
     */
    public static void add(HttpServerExchange exchange, Runnable action) {
        Objects.requireNonNull(action, "action is null");
        final CloseListeners actions = of(exchange.getConnection());
        synchronized (actions) {
            actions.actions.add(action);
        }
        exchange.addExchangeCompleteListener((ended, next) -> {
            actions.remove(action);
            next.proceed();
        });
    }

    /**
     * Counts the actions that wait on the connection of an exchange.
     *
     * @param exchange the exchange
     * @return number of actions
     */
    public static int count(HttpServerExchange exchange) {
        final CloseListeners actions = of(exchange.getConnection());
        synchronized (actions) {
            return actions.actions.size();
        }
    }

    private static CloseListeners of(ServerConnection connection) {
        synchronized (connection) {
            final CloseListeners known = connection.getAttachment(KEY);
            if (known != null) {
                return known;
            }
            final CloseListeners created = new CloseListeners();
            connection.putAttachment(KEY, created);
            connection.addCloseListener(closed -> created.run());
            return created;
        }
    }

    private synchronized void remove(Runnable action) {
        actions.remove(action);
    }

    private void run() {
        final List<Runnable> pending;
        synchronized (this) {
            pending = List.copyOf(actions);
            actions.clear();
        }
        pending.forEach(Runnable::run);
    }
}
