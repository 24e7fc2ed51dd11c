package org.masticpaddle.standin;

import java.net.URI;
import java.util.Map;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import io.undertow.server.HttpServerExchange;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticpaddle.kernel.Service;
import org.masticpaddle.wire.Exchanges;
import org.masticpaddle.wire.HttpServer;
import org.masticpaddle.wire.Json;
import org.masticpaddle.wire.MalformedMessageException;
import org.xnio.IoUtils;

/**
 * HTTP server and scheduler thread of one stand-in. Serves {@code /control/faults} and {@code /control/journal} besides
 * the paths of the stand-in.
 *
 * <p>Invariants: handlers and scheduled tasks run on the scheduler thread only; responses are written on I/O threads.
 * Thread-safe after {@link #start()}.
 */
final class StandInServer implements Service {
    private static final Logger LOGGER = LogManager.getLogger(StandInServer.class);
    private static final String HOST = "127.0.0.1";
    private static final long MAX_BODY_BYTES = 16 * 1024 * 1024;

    private final String name;
    private final Faults faults;
    private final Function<HttpServerExchange, Object> journal;
    private final Handler handler;
    private volatile int port;
    private HttpServer http;
    private volatile ScheduledThreadPoolExecutor scheduler;

    StandInServer(String name, Faults faults, Function<HttpServerExchange, Object> journal, Handler handler) {
        this.name = name;
        this.faults = faults;
        this.journal = journal;
        this.handler = handler;
    }

    @Override
    public void start() {
        scheduler = new ScheduledThreadPoolExecutor(1, task -> {
            final Thread thread = new Thread(task, "standin-" + name);
            thread.setDaemon(true);
            return thread;
        });
        scheduler.setRemoveOnCancelPolicy(true);
        scheduler.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        http = new HttpServer(
                HOST,
                port,
                1,
                MAX_BODY_BYTES,
                exchange -> Exchanges.readBody(exchange, body -> execute(() -> handleRequest(exchange, body))));
        http.start();
        port = http.port();
    }

    @Override
    public void stop() {
        scheduler.shutdownNow();
        http.stop();
    }

    URI origin() {
        return URI.create("http://" + HOST + ":" + port);
    }

    void execute(Runnable task) {
        schedule(task, 0);
    }

    void schedule(Runnable task, long nanos) {
        try {
            scheduler.schedule(() -> runAndLogFailure(task), nanos, TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException e) {
            LOGGER.debug("stand-in {} is stopped and drops a scheduled task", name);
        }
    }

    private void runAndLogFailure(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOGGER.error("a scheduled task of stand-in {} failed", name, e);
        }
    }

    private void handleRequest(HttpServerExchange exchange, byte[] body) {
        try {
            if (exchange.getRequestPath().startsWith("/control/")) {
                handleControl(exchange, body);
            } else if (faults.trigger(Fault.OUTAGE)) {
                respondImmediately(exchange, 503, errorBody("unavailable", "the stand-in has an outage"));
            } else if (faults.trigger(Fault.DISCONNECT)) {
                disconnect(exchange);
            } else {
                handler.handle(exchange, body);
            }
        } catch (MalformedMessageException | IllegalArgumentException e) {
            respondImmediately(exchange, 400, errorBody("bad_request", e.getMessage()));
        } catch (RuntimeException e) {
            LOGGER.error("stand-in {} failed to handle a request for {}", name, exchange.getRequestPath(), e);
            respondImmediately(exchange, 500, errorBody("internal", "the stand-in failed"));
        }
    }

    private void handleControl(HttpServerExchange exchange, byte[] body) {
        final boolean post = exchange.getRequestMethod().equalToString("POST");
        switch (exchange.getRequestPath()) {
            case "/control/faults" -> {
                if (post) {
                    faults.apply(Json.decode(body, Faults.Switch.class));
                }
                respondImmediately(exchange, 200, faults.activeFaults());
            }
            case "/control/journal" -> respondImmediately(exchange, 200, journal.apply(exchange));
            default -> respondNotFound(exchange);
        }
    }

    /**
     * Sends a response, subject to the faults: after a delay if {@link Fault#SLOW} is enabled, not at all if {@link
     * Fault#ANSWER_LOST} is.
     */
    void respond(HttpServerExchange exchange, int status, Object message) {
        if (faults.trigger(Fault.ANSWER_LOST)) {
            disconnect(exchange);
            return;
        }
        final long delayMillis = faults.triggerValue(Fault.SLOW, "");
        if (delayMillis > 0) {
            schedule(() -> respondImmediately(exchange, status, message), TimeUnit.MILLISECONDS.toNanos(delayMillis));
        } else {
            respondImmediately(exchange, status, message);
        }
    }

    static void respondImmediately(HttpServerExchange exchange, int status, Object message) {
        exchange.getIoThread().execute(() -> Exchanges.respond(exchange, status, message));
    }

    static void respondNotFound(HttpServerExchange exchange) {
        respondImmediately(exchange, 404, errorBody("not_found", exchange.getRequestPath()));
    }

    static void disconnect(HttpServerExchange exchange) {
        exchange.getIoThread().execute(() -> IoUtils.safeClose(exchange.getConnection()));
    }

    static Map<String, Object> errorBody(String type, String message) {
        return Map.of("error", Map.of("type", type, "message", String.valueOf(message)));
    }

    /** Handles the requests for the stand-in's own paths on the scheduler thread. */
    interface Handler {
        void handle(HttpServerExchange exchange, byte[] body);
    }
}
