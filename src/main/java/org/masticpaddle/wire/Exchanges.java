package org.masticpaddle.wire;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.function.Consumer;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;

/** Helpers to read and answer server exchanges without blocking. Thread-safe, having no state. */
public final class Exchanges {
    private Exchanges() {}

    /**
     * Reads the whole body, then calls the handler. A body that is too large is answered with status 413.
     *
     * @param exchange the exchange
     * @param handler receives the body on an input/output thread
     */
    public static void readBody(HttpServerExchange exchange, Consumer<byte[]> handler) {
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (ignored, bytes) -> exchange.dispatch(SameThreadExecutor.INSTANCE, () -> handler.accept(bytes)),
                        (ignored, error) -> {
                            exchange.setPersistent(false);
                            exchange.setStatusCode(413).endExchange();
                        });
    }

    /**
     * Answers with a JSON message.
     *
     * @param exchange the exchange
     * @param status HTTP status
     * @param message message to encode
     */
    public static void respond(HttpServerExchange exchange, int status, Object message) {
        respond(exchange, status, "application/json", Json.encode(message));
    }

    /**
     * Answers with bytes. Does nothing if the answer has begun.
     *
     * @param exchange the exchange
     * @param status HTTP status
     * @param contentType value of the {@code Content-Type} header
     * @param body body
     */
    public static void respond(HttpServerExchange exchange, int status, String contentType, byte[] body) {
        if (exchange.isInIoThread()) {
            send(exchange, status, contentType, body);
        } else {
            // One thread writes to a connection, so that nothing else comes between the bytes of an answer.
            exchange.getIoThread().execute(() -> send(exchange, status, contentType, body));
        }
    }

    private static void send(HttpServerExchange exchange, int status, String contentType, byte[] body) {
        if (exchange.isResponseStarted()) {
            return;
        }
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
        exchange.getResponseSender().send(ByteBuffer.wrap(body));
    }

    /**
     * Finds a request header.
     *
     * @param exchange the exchange
     * @param name header name
     * @return its first value, if there is one that is not blank
     */
    public static Optional<String> header(HttpServerExchange exchange, String name) {
        return Optional.ofNullable(exchange.getRequestHeaders().getFirst(name))
                .map(String::trim)
                .filter(value -> !value.isEmpty());
    }

    /**
     * Adds up the sizes of the request headers.
     *
     * @param exchange the exchange
     * @return characters of names and values
     */
    public static int headerSize(HttpServerExchange exchange) {
        int size = 0;
        for (final HeaderValues values : exchange.getRequestHeaders()) {
            for (int index = 0; index < values.size(); index++) {
                size += values.getHeaderName().length() + values.get(index).length();
            }
        }
        return size;
    }

    /**
     * Finds a query parameter.
     *
     * @param exchange the exchange
     * @param name parameter name
     * @return its first value
     */
    public static Optional<String> query(HttpServerExchange exchange, String name) {
        return Optional.ofNullable(exchange.getQueryParameters().get(name)).map(values -> values.peekFirst());
    }

    /**
     * Reads a whole-number query parameter.
     *
     * @param exchange the exchange
     * @param name parameter name
     * @param fallback value if the parameter is missing or not a number
     * @return the value
     */
    public static long queryLong(HttpServerExchange exchange, String name, long fallback) {
        try {
            return query(exchange, name).map(Long::parseLong).orElse(fallback);
        } catch (NumberFormatException e) {
            return fallback;
        }
    }
}
