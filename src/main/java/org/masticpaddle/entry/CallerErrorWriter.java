package org.masticpaddle.entry;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.masticpaddle.wire.Exchanges;

/** Writes a {@link CallerError} as an HTTP response. Stateless. */
final class CallerErrorWriter {
    private CallerErrorWriter() {}

    /** Sends the error with its status and {@code Retry-After}, unless the response has already started. */
    static void send(HttpServerExchange exchange, CallerError error) {
        if (exchange.isResponseStarted()) {
            return;
        }
        if (error.retryAfterMillis() > 0) {
            exchange.getResponseHeaders()
                    .put(Headers.RETRY_AFTER, Math.max(1, (error.retryAfterMillis() + 999) / 1000));
        }
        Exchanges.respond(exchange, error.kind().status(), CallerErrorBody.of(error));
    }
}
