package org.masticpaddle.sidecar;

import java.util.Objects;
import java.util.Optional;
import java.util.function.LongSupplier;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import org.masticpaddle.routing.SessionBinding;
import org.masticpaddle.routing.SessionBindings;
import org.masticpaddle.wire.Exchanges;
import org.masticpaddle.wire.Json;
import org.masticpaddle.wire.MalformedMessageException;

/** Keeps session bindings for entries: {@code GET} and {@code POST /internal/session}. Thread-safe. */
final class SessionHandler implements HttpHandler {
    private final SessionBindings bindings;
    private final LongSupplier clock;

    SessionHandler(SessionBindings bindings, LongSupplier clock) {
        this.bindings = Objects.requireNonNull(bindings, "bindings is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        if ("GET".equals(exchange.getRequestMethod().toString())) {
            final String organisation =
                    Exchanges.query(exchange, "organisation").orElse("");
            final String session = Exchanges.query(exchange, "session").orElse("");
            final Optional<SessionBinding> found;
            synchronized (bindings) {
                found = bindings.find(organisation, session, clock.getAsLong());
            }
            found.ifPresentOrElse(
                    binding -> Exchanges.respond(exchange, 200, binding),
                    () -> exchange.setStatusCode(404).endExchange());
            return;
        }
        Exchanges.readBody(exchange, body -> bind(exchange, body));
    }

    private void bind(HttpServerExchange exchange, byte[] body) {
        try {
            final SessionBinding proposed = Json.decode(body, SessionBinding.class);
            final SessionBinding winner;
            synchronized (bindings) {
                winner = bindings.bind(proposed, clock.getAsLong());
            }
            Exchanges.respond(exchange, 200, winner);
        } catch (MalformedMessageException e) {
            exchange.setStatusCode(400).endExchange();
        }
    }
}
