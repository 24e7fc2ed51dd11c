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
 * HTTP server and scheduler thread of one stand-in, with its control endpoints.
 *
 * <p>Invariants: handlers and scheduled tasks run on the scheduler thread only; answers are written on input/output
 * threads. Thread-safe after the start.
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
                exchange -> Exchanges.readBody(exchange, body -> execute(() -> receive(exchange, body))));
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
            scheduler.schedule(() -> guard(task), nanos, TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException e) {
            LOGGER.debug("stand-in {} stopped before a task was due", name);
        }
    }

    private void guard(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOGGER.error("stand-in {} failed on a task", name, e);
        }
    }

    private void receive(HttpServerExchange exchange, byte[] body) {
        try {
            if (exchange.getRequestPath().startsWith("/control/")) {
                control(exchange, body);
            } else if (faults.occurs(Fault.OUTAGE)) {
                respondImmediately(exchange, 503, errorBody("unavailable", "the stand-in has an outage"));
            } else if (faults.occurs(Fault.DISCONNECT)) {
                disconnect(exchange);
            } else {
                handler.handle(exchange, body);
            }
        } catch (MalformedMessageException | IllegalArgumentException e) {
            respondImmediately(exchange, 400, errorBody("bad_request", e.getMessage()));
        } catch (RuntimeException e) {
            LOGGER.error("stand-in {} failed on {}", name, exchange.getRequestPath(), e);
            respondImmediately(exchange, 500, errorBody("internal", "the stand-in failed"));
        }
    }

    private void control(HttpServerExchange exchange, byte[] body) {
        final boolean post = exchange.getRequestMethod().equalToString("POST");
        switch (exchange.getRequestPath()) {
            case "/control/faults" -> {
                if (post) {
                    faults.apply(Json.decode(body, Faults.Switch.class));
                }
                respondImmediately(exchange, 200, faults.active());
            }
            case "/control/journal" -> respondImmediately(exchange, 200, journal.apply(exchange));
            default -> respondNotFound(exchange);
        }
    }

    /** Answers, late if the stand-in is slow, or not at all if the answer is to be lost. */
    void respond(HttpServerExchange exchange, int status, Object message) {
        if (faults.occurs(Fault.ANSWER_LOST)) {
            disconnect(exchange);
            return;
        }
        final long delay = faults.value(Fault.SLOW, "");
        if (delay > 0) {
            schedule(() -> respondImmediately(exchange, status, message), TimeUnit.MILLISECONDS.toNanos(delay));
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

    /** Handles requests on the scheduler thread. */
    interface Handler {
        void handle(HttpServerExchange exchange, byte[] body);
    }
}
