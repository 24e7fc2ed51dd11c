package org.masticpaddle.gateway;

import java.util.Collections;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.WeakHashMap;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import org.masticpaddle.admission.RetryAfterPolicy;
import org.masticpaddle.decisions.Decision;
import org.masticpaddle.routes.KeyOwner;
import org.masticpaddle.routes.RequestLimits;
import org.masticpaddle.routes.Route;
import org.masticpaddle.routes.RoutingTable;
import org.masticpaddle.wire.Exchanges;

/** Takes callers' requests: checks them against the configuration in force and hands them on. Runs on the event loop. */
final class GatewayHandler implements HttpHandler {
    /** Time for which a request waits for the first answers of the log; they usually come within 200 ms. */
    private static final long LONGEST_START_NANOS = 600_000_000L;

    private static final long START_PAUSE_MILLIS = 20;

    private final GatewayContext context;
    // Weak, since an exchange whose connection was closed under it is never completed.
    private final Set<HttpServerExchange> active = Collections.newSetFromMap(new WeakHashMap<>());
    private boolean leaving;
    private boolean refusing;

    GatewayHandler(GatewayContext context) {
        this.context = Objects.requireNonNull(context, "context is null");
    }

    /** Asks callers to leave their connections. */
    void leave() {
        leaving = true;
    }

    /** Refuses all further requests. */
    void refuse() {
        refusing = true;
    }

    /** Counts the requests that have no final answer yet. */
    long active() {
        return active.stream()
                .filter(exchange -> exchange.getConnection().isOpen())
                .count();
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        final long received = context.scheduler().nanos();
        active.add(exchange);
        exchange.addExchangeCompleteListener((ended, next) -> {
            active.remove(ended);
            next.proceed();
        });
        if (leaving) {
            exchange.setPersistent(false);
        }
        if (refusing) {
            refuse(exchange, 503, "the gateway stops");
            return;
        }
        final RequestLimits limits =
                context.state().table().map(RoutingTable::limits).orElse(RequestLimits.DEFAULT);
        if (Exchanges.headerSize(exchange) > limits.maxHeaderBytes()) {
            refuse(exchange, 431, "the headers are too large");
            return;
        }
        if (exchange.getRequestContentLength() > limits.maxBodyBytes()) {
            refuse(exchange, 413, "the body is too large");
            return;
        }
        Exchanges.readBody(exchange, body -> whenStarted(exchange, body, received));
    }

    /** Holds requests that come between the start of the listener and the first answers of the log. */
    private void whenStarted(HttpServerExchange exchange, byte[] body, long received) {
        if (context.state().started()) {
            admit(exchange, body, received);
        } else if (context.scheduler().nanos() - received < LONGEST_START_NANOS) {
            context.scheduler().schedule(START_PAUSE_MILLIS, () -> whenStarted(exchange, body, received));
        } else {
            refuse(exchange, 503, "no configuration is known yet");
        }
    }

    private void admit(HttpServerExchange exchange, byte[] body, long received) {
        final RoutingTable table = context.state().table().orElseThrow();
        final Optional<Route> route = route(table, exchange);
        if (route.isEmpty()) {
            refuse(exchange, 404, "no route matches");
            return;
        }
        final Map<String, String> headers = headers(exchange);
        final InboundRequest request = context.dialect().parseRequest(headers);
        if (request.id().isEmpty()) {
            refuse(exchange, 400, "the request has no identifier");
            return;
        }
        Optional<KeyOwner> holder = Optional.empty();
        if (table.needsKey(route.get())) {
            if (!context.state().keysFresh(received)) {
                refuse(exchange, 503, "the keys are not known to be current");
                return;
            }
            holder = request.key().flatMap(table::keyOwner);
            if (holder.isEmpty()) {
                refuse(exchange, 401, "the key is not known");
                return;
            }
        }
        final RequestForwarder.AdmittedRequest call = new RequestForwarder.AdmittedRequest(
                table,
                route.get(),
                holder,
                request,
                exchange.getRequestMethod().toString(),
                target(exchange),
                headers,
                body,
                received);
        new RequestForwarder(context, new UndertowCaller(exchange), call).start();
    }

    private void refuse(HttpServerExchange exchange, int status, String reason) {
        final Map<String, String> headers = new HashMap<>();
        if (status == 503) {
            headers.putAll(LocalResponses.retryAfter(
                    RetryAfterPolicy.FAILOVER.delaySeconds(objectiveMillis(exchange), context.random())));
        }
        context.counters().add(GatewayCounters.Counter.REFUSED);
        context.log()
                .write(
                        Decision.REQUEST_REJECTED,
                        "request",
                        context.dialect().parseRequest(headers(exchange)).id(),
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
                        "configuration_age_ms",
                        context.state()
                                .confirmedAgeMillis(context.scheduler().nanos())
                                .orElse(-1));
        if (!exchange.isRequestComplete()) {
            exchange.setPersistent(false);
        }
        new UndertowCaller(exchange).answer(status, headers, LocalResponses.body(status, reason));
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

    /** Path as the caller sent it, without decoding, since upstreams get it unchanged. */
    private static String path(HttpServerExchange exchange) {
        final String uri = exchange.getRequestURI();
        if (!exchange.isHostIncludedInRequestURI()) {
            return uri;
        }
        final int slash = uri.indexOf('/', uri.indexOf("://") + 3);
        return slash < 0 ? "/" : uri.substring(slash);
    }
}
