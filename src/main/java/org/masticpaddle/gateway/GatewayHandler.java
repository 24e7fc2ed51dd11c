package org.masticpaddle.gateway;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.WeakHashMap;
import java.util.function.BooleanSupplier;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import org.masticpaddle.admission.RetryAfterPolicy;
import org.masticpaddle.control.LogPosition;
import org.masticpaddle.control.SharedLog;
import org.masticpaddle.decisions.Decision;
import org.masticpaddle.routes.KeyOwner;
import org.masticpaddle.routes.RequestLimits;
import org.masticpaddle.routes.Route;
import org.masticpaddle.routes.RoutingTable;
import org.masticpaddle.wire.Exchanges;
import org.masticpaddle.wire.RequestBody;
import org.masticpaddle.wire.RequestBodyReader;

/**
 * Admits callers' requests: applies size limits, routes and authenticates them by the routing table in force and forwards
 * them. Runs on the event loop.
 */
final class GatewayHandler implements HttpHandler {
    /** Time for which a request waits for the first responses of the log, which usually arrive within 200 ms. */
    private static final long STARTUP_TIMEOUT_NANOS = 600_000_000L;

    /** Interval between checks whether the first responses of the log have arrived. */
    private static final long STARTUP_RECHECK_MILLIS = 20;

    private static final Object[] NO_FIELDS = {};

    private final GatewayContext context;
    private final RequestBodies bodies;
    private final BooleanSupplier started;
    // Weak references, since an exchange never completes if its connection is closed while it is processed.
    private final Set<HttpServerExchange> activeRequests = Collections.newSetFromMap(new WeakHashMap<>());
    private final Map<HttpServerExchange, RequestForwarder> forwarders = new WeakHashMap<>();
    private volatile int requestsInFlight;
    private boolean draining;
    private boolean rejecting;

    /**
     * Creates a handler that accepts requests.
     *
     * @param context components of the gateway
     * @param bodies reader of the bodies
     * @param started returns whether all that a gateway reads before its first decision was read from the log
     */
    GatewayHandler(GatewayContext context, RequestBodies bodies, BooleanSupplier started) {
        this.context = Objects.requireNonNull(context, "context is null");
        this.bodies = Objects.requireNonNull(bodies, "bodies is null");
        this.started = Objects.requireNonNull(started, "started is null");
    }

    /** Closes each connection after its next response, so that callers connect to other gateways. */
    void drain() {
        draining = true;
    }

    /** Rejects all further requests. */
    void rejectAll() {
        rejecting = true;
    }

    /** Ends the requests in flight and rejects all further ones. */
    void endAll() {
        rejecting = true;
        bodies.stop();
        List.copyOf(forwarders.values()).forEach(RequestForwarder::stop);
    }

    /** Returns the number of requests whose exchange is not complete; may be called by any thread. */
    int requestsInFlight() {
        return requestsInFlight;
    }

    /** Returns the number of requests in flight on open connections. */
    long activeRequests() {
        return activeRequests.stream()
                .filter(exchange -> exchange.getConnection().isOpen())
                .count();
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        final long receivedNanos = context.scheduler().nanos();
        activeRequests.add(exchange);
        exchange.addExchangeCompleteListener((ended, next) -> {
            activeRequests.remove(ended);
            forwarders.remove(ended);
            requestsInFlight = forwarders.size();
            next.proceed();
        });
        if (draining) {
            exchange.setPersistent(false);
        }
        if (rejecting) {
            reject(exchange, 503, "the gateway stops");
            return;
        }
        final RequestLimits limits =
                context.state().table().map(RoutingTable::limits).orElse(RequestLimits.DEFAULT);
        if (Exchanges.headerSize(exchange) > limits.maxHeaderBytes()) {
            reject(exchange, 431, "the headers are too large");
            return;
        }
        if (exchange.getRequestContentLength() > limits.maxBodyBytes()) {
            reject(exchange, 413, "the body is too large");
            return;
        }
        final Optional<RoutingTable> table = context.state().table();
        final RequestBodies.Head head = new RequestBodies.Head(
                table,
                table.flatMap(known -> route(known, exchange)),
                context.headerCodec().parseRequest(headers(exchange)));
        bodies.read(
                exchange,
                head,
                body -> admitWhenStarted(exchange, body, receivedNanos),
                rejection -> rejectUnread(exchange, rejection));
    }

    private void rejectUnread(HttpServerExchange exchange, RequestBodyReader.Rejection rejection) {
        final boolean wantsMemory = rejection == RequestBodyReader.Rejection.MEMORY;
        if (wantsMemory) {
            context.counters().add(GatewayCounters.Counter.REFUSED_FOR_MEMORY);
        }
        reject(
                exchange,
                rejection.status(),
                rejection.reason(),
                wantsMemory ? RetryAfterPolicy.BACKOFF : RetryAfterPolicy.FAILOVER,
                wantsMemory ? bodies.holders() : NO_FIELDS);
    }

    /** Delays requests that arrive between the start of the listener and the first responses of the log. */
    private void admitWhenStarted(HttpServerExchange exchange, RequestBody body, long receivedNanos) {
        if (rejecting) {
            reject(exchange, 503, "the gateway stops");
            return;
        }
        final boolean mayWait = context.scheduler().nanos() - receivedNanos < STARTUP_TIMEOUT_NANOS;
        if (started.getAsBoolean() || !mayWait && context.state().started()) {
            admit(exchange, body, receivedNanos);
        } else if (mayWait) {
            context.scheduler().schedule(STARTUP_RECHECK_MILLIS, () -> admitWhenStarted(exchange, body, receivedNanos));
        } else {
            reject(exchange, 503, "no configuration is known yet");
        }
    }

    private void admit(HttpServerExchange exchange, RequestBody body, long receivedNanos) {
        final RoutingTable table = context.state().table().orElseThrow();
        final Optional<Route> route = route(table, exchange);
        if (route.isEmpty()) {
            reject(exchange, 404, "no route matches");
            return;
        }
        final Map<String, String> headers = headers(exchange);
        final InboundRequest request = context.headerCodec().parseRequest(headers);
        if (request.id().isEmpty()) {
            reject(exchange, 400, "the request has no identifier");
            return;
        }
        Optional<KeyOwner> keyOwner = Optional.empty();
        if (table.needsKey(route.get())) {
            if (!context.state().keysCurrent(receivedNanos)) {
                reject(exchange, 503, "the keys are not known to be current");
                return;
            }
            keyOwner = request.key().flatMap(table::keyOwner);
            if (keyOwner.isEmpty()) {
                reject(exchange, 401, "the key is not known");
                return;
            }
        }
        final AdmittedRequest admitted = new AdmittedRequest(
                table,
                route.get(),
                keyOwner,
                request,
                exchange.getRequestMethod().toString(),
                target(exchange),
                headers,
                body,
                receivedNanos);
        final RequestForwarder forwarder =
                new RequestForwarder(context, new UndertowCaller(exchange, context, request.id()), admitted);
        forwarders.put(exchange, forwarder);
        requestsInFlight = forwarders.size();
        forwarder.start();
    }

    private void reject(HttpServerExchange exchange, int status, String reason) {
        reject(exchange, status, reason, RetryAfterPolicy.FAILOVER, NO_FIELDS);
    }

    private void reject(
            HttpServerExchange exchange, int status, String reason, RetryAfterPolicy retryAfter, Object[] fields) {
        final Map<String, String> headers = new HashMap<>();
        if (status == 503) {
            headers.putAll(LocalResponses.retryAfterHeader(
                    retryAfter.delaySeconds(objectiveMillis(exchange), context.random())));
        }
        context.counters().add(GatewayCounters.Counter.REFUSED);
        final String id = context.headerCodec().parseRequest(headers(exchange)).id();
        final List<Object> line = new ArrayList<>(Arrays.asList(
                "request",
                id,
                "status",
                status,
                "reason",
                reason,
                "host",
                exchange.getHostAndPort(),
                "path",
                path(exchange),
                "configuration",
                context.state().table().map(RoutingTable::version).orElse(null),
                "configuration_offset",
                context.state().tablePosition().map(LogPosition::offset).orElse(null),
                "configuration_era",
                context.state()
                        .tablePosition()
                        .map(LogPosition::era)
                        .filter(era -> era != SharedLog.NO_ERA)
                        .orElse(null),
                "configuration_age_ms",
                context.state().confirmedAgeMillis(context.scheduler().nanos()).orElse(-1)));
        line.addAll(Arrays.asList(fields));
        context.log().write(Decision.REQUEST_REJECTED, line.toArray());
        new UndertowCaller(exchange, context, id).respond(status, headers, LocalResponses.errorBody(status, reason));
    }

    private double objectiveMillis(HttpServerExchange exchange) {
        return context.state()
                .table()
                .flatMap(table -> route(table, exchange))
                .map(Route::objectiveMillis)
                .map(Number::doubleValue)
                .orElse(RetryAfterPolicy.DEFAULT_OBJECTIVE_MILLIS);
    }

    private static Optional<Route> route(RoutingTable table, HttpServerExchange exchange) {
        return table.route(Objects.requireNonNullElse(exchange.getHostAndPort(), ""), path(exchange));
    }

    private static Map<String, String> headers(HttpServerExchange exchange) {
        final Map<String, String> headers = new HashMap<>();
        for (final HeaderValues values : exchange.getRequestHeaders()) {
            headers.put(
                    values.getHeaderName().toString().toLowerCase(Locale.ROOT),
                    values.size() == 1 ? values.getFirst() : String.join(", ", values));
        }
        headers.putIfAbsent(
                "host", Objects.requireNonNullElse(exchange.getRequestHeaders().getFirst(Headers.HOST), ""));
        return headers;
    }

    private static String target(HttpServerExchange exchange) {
        final String query = exchange.getQueryString();
        return path(exchange) + (query.isEmpty() ? "" : "?" + query);
    }

    /** Returns the path as the caller sent it, not decoded, since upstreams receive it unchanged. */
    private static String path(HttpServerExchange exchange) {
        final String uri = exchange.getRequestURI();
        if (!exchange.isHostIncludedInRequestURI()) {
            return uri;
        }
        final int slash = uri.indexOf('/', uri.indexOf("://") + 3);
        return slash < 0 ? "/" : uri.substring(slash);
    }
}
