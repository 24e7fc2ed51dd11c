package org.masticpaddle.wire;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Objects;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;

/**
 * Serves {@code /healthz}, {@code /readyz}, {@code /metrics} and {@code /internal/process}. Thread-safe; never blocks.
 */
public final class OperationsHandler implements HttpHandler {
    private final BooleanSupplier ready;
    private final Supplier<String> metrics;
    private final Supplier<?> status;

    /**
     * Creates the handler.
     *
     * @param ready whether the process accepts requests
     * @param metrics metrics page in the Prometheus text format
     * @param status status of the process, encoded as JSON for each request
     */
    public OperationsHandler(BooleanSupplier ready, Supplier<String> metrics, Supplier<?> status) {
        this.ready = Objects.requireNonNull(ready, "ready is null");
        this.metrics = Objects.requireNonNull(metrics, "metrics is null");
        this.status = Objects.requireNonNull(status, "status is null");
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        switch (exchange.getRequestPath()) {
            case "/healthz" -> Exchanges.respond(exchange, 200, Map.of("alive", true));
            case "/readyz" -> {
                final boolean isReady = ready.getAsBoolean();
                Exchanges.respond(exchange, isReady ? 200 : 503, Map.of("ready", isReady));
            }
            case "/metrics" ->
                Exchanges.respond(
                        exchange,
                        200,
                        "text/plain; version=0.0.4; charset=utf-8",
                        metrics.get().getBytes(StandardCharsets.UTF_8));
            case "/internal/process" -> Exchanges.respond(exchange, 200, status.get());
            default ->
                Exchanges.respond(
                        exchange,
                        404,
                        Map.of("error", Map.of("type", "not_found", "message", "no such path", "run", "not_run")));
        }
    }
}
