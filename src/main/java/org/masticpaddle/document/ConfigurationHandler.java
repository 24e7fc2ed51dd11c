package org.masticpaddle.document;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.LongFunction;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import org.masticpaddle.wire.Exchanges;

/** HTTP handler of {@code GET /internal/configuration?after=OFFSET}. Thread-safe; never blocks. */
public final class ConfigurationHandler implements HttpHandler {
    private final LongFunction<Optional<ConfigurationResponse>> source;

    /**
     * Creates the handler.
     *
     * @param source returns the response for an offset, for example {@link ConfigurationService#changesSince(long)}
     */
    public ConfigurationHandler(LongFunction<Optional<ConfigurationResponse>> source) {
        this.source = Objects.requireNonNull(source, "source is null");
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        final long after = Exchanges.queryLong(exchange, "after", 0);
        source.apply(Math.max(0, after))
                .ifPresentOrElse(
                        response -> Exchanges.respond(exchange, 200, response),
                        () -> Exchanges.respond(exchange, 503, Map.of("message", "no document in effect")));
    }
}
