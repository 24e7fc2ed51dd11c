package org.masticpaddle.entry;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.masticpaddle.wire.Exchanges;

/** Sends a {@link CallerError} as an HTTP answer. Thread-safe, having no state. */
final class CallerErrorWriter {
    private CallerErrorWriter() {}

    static void send(HttpServerExchange exchange, CallerError refusal) {
        if (exchange.isResponseStarted()) {
            return;
        }
        if (refusal.retryAfterMillis() > 0) {
            exchange.getResponseHeaders()
                    .put(Headers.RETRY_AFTER, Math.max(1, (refusal.retryAfterMillis() + 999) / 1000));
        }
        Exchanges.respond(exchange, refusal.kind().status(), CallerErrorBody.of(refusal));
    }
}
