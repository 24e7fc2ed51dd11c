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
import org.masticpaddle.wire.AttemptStatusQuery;
import org.masticpaddle.wire.AttemptStatusReply;
import org.masticpaddle.wire.CancelOrder;
import org.masticpaddle.wire.ChargeAcknowledgement;
import org.masticpaddle.wire.Dispatch;
import org.masticpaddle.wire.Exchanges;
import org.masticpaddle.wire.Json;
import org.masticpaddle.wire.MalformedMessageException;
import org.masticpaddle.wire.ResponseStream;

/** HTTP interface of a sidecar for entries. Thread-safe, since it only converts requests into events. */
final class SidecarHandler implements HttpHandler {
    // Limits a response to about 3 KB, since entries poll once a second and have 17 KB/s for all control traffic.
    private static final int MAX_CACHE_EVENTS = 32;
    private static final long MAX_PENDING_BYTES = 4 << 20;

    private final Predicate<SidecarEvent> eventSink;
    private final LoadTracker load;
    private final Consumer<ChargeAcknowledgement> acknowledgementListener;
    private final Consumer<URI> senderListener;
    private final HttpHandler sessionHandler;
    private final HttpHandler operationsHandler;

    SidecarHandler(
            Predicate<SidecarEvent> eventSink,
            LoadTracker load,
            Consumer<ChargeAcknowledgement> acknowledgementListener,
            Consumer<URI> senderListener,
            HttpHandler sessionHandler,
            HttpHandler operationsHandler) {
        this.eventSink = Objects.requireNonNull(eventSink, "eventSink is null");
        this.load = Objects.requireNonNull(load, "load is null");
        this.acknowledgementListener =
                Objects.requireNonNull(acknowledgementListener, "acknowledgementListener is null");
        this.senderListener = Objects.requireNonNull(senderListener, "senderListener is null");
        this.sessionHandler = Objects.requireNonNull(sessionHandler, "sessionHandler is null");
        this.operationsHandler = Objects.requireNonNull(operationsHandler, "operationsHandler is null");
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws Exception {
        switch (exchange.getRequestMethod() + " " + exchange.getRequestPath()) {
            case "POST /internal/dispatch" ->
                Exchanges.readBody(exchange, body -> rejectIfMalformed(exchange, () -> dispatch(exchange, body)));
            case "POST /internal/settle" ->
                Exchanges.readBody(exchange, body -> rejectIfMalformed(exchange, () -> queryStatus(exchange, body)));
            case "POST /internal/cancel" ->
                Exchanges.readBody(exchange, body -> rejectIfMalformed(exchange, () -> cancel(exchange, body)));
            case "POST /internal/settled" ->
                Exchanges.readBody(
                        exchange,
                        body -> rejectIfMalformed(exchange, () -> {
                            acknowledgementListener.accept(Json.decode(body, ChargeAcknowledgement.class));
                            Exchanges.respond(exchange, 200, load.report());
                        }));
            case "GET /internal/status" -> Exchanges.respond(exchange, 200, load.report());
            case "GET /internal/cache-events" ->
                Exchanges.respond(
                        exchange,
                        200,
                        new CacheEvents(
                                load.cacheEvents().after(Exchanges.queryLong(exchange, "after", 0), MAX_CACHE_EVENTS)));
            case "GET /internal/session", "POST /internal/session" -> sessionHandler.handleRequest(exchange);
            default -> operationsHandler.handleRequest(exchange);
        }
    }

    private void dispatch(HttpServerExchange exchange, byte[] body) {
        final Dispatch dispatch = Json.decode(body, Dispatch.class);
        Exchanges.header(exchange, "Masticpaddle-Entry").map(URI::create).ifPresent(senderListener);
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
            final ResponseStream responseStream =
                    ResponseStream.start(exchange, 200, "application/x-ndjson", MAX_PENDING_BYTES);
            responseStream.onClosed(
                    () -> eventSink.test(new SidecarEvent.EntryDisconnected(dispatch.attemptId(), responseStream)));
            if (!eventSink.test(new SidecarEvent.DispatchReceived(dispatch, responseStream))) {
                responseStream.abort();
            }
        });
    }

    private void queryStatus(HttpServerExchange exchange, byte[] body) {
        final AttemptStatusQuery query = Json.decode(body, AttemptStatusQuery.class);
        final CompletableFuture<AttemptStatusReply> reply = new CompletableFuture<>();
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
            reply.thenAccept(message -> Exchanges.respond(exchange, 200, message));
            if (!eventSink.test(new SidecarEvent.StatusQueried(query, reply))) {
                exchange.setStatusCode(503).endExchange();
            }
        });
    }

    private void cancel(HttpServerExchange exchange, byte[] body) {
        eventSink.test(
                new SidecarEvent.Cancelled(Json.decode(body, CancelOrder.class).attemptId()));
        Exchanges.respond(exchange, 200, load.report());
    }

    private static void rejectIfMalformed(HttpServerExchange exchange, Runnable action) {
        try {
            action.run();
        } catch (MalformedMessageException e) {
            exchange.setStatusCode(400).endExchange();
        }
    }
}
