package org.masticpaddle.entry;

import java.util.Objects;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import org.masticpaddle.admission.DemandSummary;
import org.masticpaddle.wire.Exchanges;
import org.masticpaddle.wire.Json;
import org.masticpaddle.wire.MalformedMessageException;

/** Answers {@code POST /internal/demand}. Thread-safe: the exchange is called on the entry's duty. */
final class DemandHandler implements HttpHandler {
    private final EntryLoop loop;
    private final DemandExchange exchange;

    DemandHandler(EntryLoop loop, DemandExchange exchange) {
        this.loop = Objects.requireNonNull(loop, "loop is null");
        this.exchange = Objects.requireNonNull(exchange, "exchange is null");
    }

    @Override
    public void handleRequest(HttpServerExchange server) {
        Exchanges.readBody(server, body -> {
            try {
                final DemandSummary summary = Json.decode(body, DemandSummary.class);
                server.dispatch(SameThreadExecutor.INSTANCE, () -> {
                    if (!loop.offer(() -> Exchanges.respond(server, 200, exchange.receive(summary)))) {
                        server.setStatusCode(503).endExchange();
                    }
                });
            } catch (MalformedMessageException e) {
                server.setStatusCode(400).endExchange();
            }
        });
    }
}
