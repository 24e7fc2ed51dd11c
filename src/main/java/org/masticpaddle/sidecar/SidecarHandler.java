package org.masticpaddle.sidecar;

import java.net.URI;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Predicate;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import org.masticpaddle.platform.HttpEngineControl.CacheEvents;
import org.masticpaddle.wire.CancelOrder;
import org.masticpaddle.wire.Dispatch;
import org.masticpaddle.wire.Exchanges;
import org.masticpaddle.wire.Json;
import org.masticpaddle.wire.MalformedMessageException;
import org.masticpaddle.wire.ResponseStream;
import org.masticpaddle.wire.AttemptStatusQuery;
import org.masticpaddle.wire.AttemptStatusReply;
import org.masticpaddle.wire.ChargeAcknowledgement;

/** HTTP interface of a sidecar towards entries. Thread-safe: it only turns requests into events. */
final class SidecarHandler implements HttpHandler {
    // Bounds the answer to about 3 KB, since entries ask once a second and have 17 KB a second for all control.
    private static final int MAX_EVENTS = 32;
    private static final long MAX_PENDING_BYTES = 4 << 20;

    private final Predicate<SidecarEvent> events;
    private final LoadTracker load;
    private final Consumer<ChargeAcknowledgement> settled;
    private final Consumer<URI> entries;
    private final HttpHandler sessions;
    private final HttpHandler operations;

    SidecarHandler(
            Predicate<SidecarEvent> events,
            LoadTracker load,
            Consumer<ChargeAcknowledgement> settled,
            Consumer<URI> entries,
            HttpHandler sessions,
            HttpHandler operations) {
        this.events = Objects.requireNonNull(events, "events is null");
        this.load = Objects.requireNonNull(load, "load is null");
        this.settled = Objects.requireNonNull(settled, "settled is null");
        this.entries = Objects.requireNonNull(entries, "entries is null");
        this.sessions = Objects.requireNonNull(sessions, "sessions is null");
        this.operations = Objects.requireNonNull(operations, "operations is null");
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws Exception {
        switch (exchange.getRequestMethod() + " " + exchange.getRequestPath()) {
            case "POST /internal/dispatch" ->
                Exchanges.readBody(exchange, body -> checked(exchange, () -> dispatch(exchange, body)));
            case "POST /internal/settle" ->
                Exchanges.readBody(exchange, body -> checked(exchange, () -> settle(exchange, body)));
            case "POST /internal/cancel" ->
                Exchanges.readBody(exchange, body -> checked(exchange, () -> cancel(exchange, body)));
            case "POST /internal/settled" ->
                Exchanges.readBody(
                        exchange,
                        body -> checked(exchange, () -> {
                            settled.accept(Json.decode(body, ChargeAcknowledgement.class));
                            Exchanges.respond(exchange, 200, load.report());
                        }));
            case "GET /internal/status" -> Exchanges.respond(exchange, 200, load.report());
            case "GET /internal/cache-events" ->
                Exchanges.respond(
                        exchange,
                        200,
                        new CacheEvents(
                                load.cacheEvents().after(Exchanges.queryLong(exchange, "after", 0), MAX_EVENTS)));
            case "GET /internal/session", "POST /internal/session" -> sessions.handleRequest(exchange);
            default -> operations.handleRequest(exchange);
        }
    }

    private void dispatch(HttpServerExchange exchange, byte[] body) {
        final Dispatch dispatch = Json.decode(body, Dispatch.class);
        Exchanges.header(exchange, "Masticpaddle-Entry").map(URI::create).ifPresent(entries);
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
            final ResponseStream listener =
                    ResponseStream.start(exchange, 200, "application/x-ndjson", MAX_PENDING_BYTES);
            listener.onClosed(() -> events.test(new SidecarEvent.Detached(dispatch.attemptId(), listener)));
            if (!events.test(new SidecarEvent.Arrived(dispatch, listener))) {
                listener.abort();
            }
        });
    }

    private void settle(HttpServerExchange exchange, byte[] body) {
        final AttemptStatusQuery query = Json.decode(body, AttemptStatusQuery.class);
        final CompletableFuture<AttemptStatusReply> reply = new CompletableFuture<>();
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
            reply.thenAccept(answer -> Exchanges.respond(exchange, 200, answer));
            if (!events.test(new SidecarEvent.Settle(query, reply))) {
                exchange.setStatusCode(503).endExchange();
            }
        });
    }

    private void cancel(HttpServerExchange exchange, byte[] body) {
        events.test(
                new SidecarEvent.Cancelled(Json.decode(body, CancelOrder.class).attemptId()));
        Exchanges.respond(exchange, 200, load.report());
    }

    private static void checked(HttpServerExchange exchange, Runnable action) {
        try {
            action.run();
        } catch (MalformedMessageException e) {
            exchange.setStatusCode(400).endExchange();
        }
    }
}
