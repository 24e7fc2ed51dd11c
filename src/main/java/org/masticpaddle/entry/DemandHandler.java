package org.masticpaddle.entry;

import java.util.Objects;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import org.masticpaddle.admission.DemandSummary;
import org.masticpaddle.wire.Exchanges;
import org.masticpaddle.wire.Json;
import org.masticpaddle.wire.MalformedMessageException;

/** Handles {@code POST /internal/demand}. Thread-safe: calls the exchange on the entry's duty. */
final class DemandHandler implements HttpHandler {
    private final EntryLoop loop;
    private final DemandExchange demandExchange;

    DemandHandler(EntryLoop loop, DemandExchange demandExchange) {
        this.loop = Objects.requireNonNull(loop, "loop is null");
        this.demandExchange = Objects.requireNonNull(demandExchange, "demandExchange is null");
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        Exchanges.readBody(exchange, body -> {
            try {
                final DemandSummary summary = Json.decode(body, DemandSummary.class);
                exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
                    if (!loop.offer(() -> Exchanges.respond(exchange, 200, demandExchange.receive(summary)))) {
                        exchange.setStatusCode(503).endExchange();
                    }
                });
            } catch (MalformedMessageException e) {
                exchange.setStatusCode(400).endExchange();
            }
        });
    }
}
