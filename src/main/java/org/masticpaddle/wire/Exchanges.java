package org.masticpaddle.wire;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.function.Consumer;

import io.undertow.io.Receiver;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.AttachmentKey;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;

/** Static methods that read requests and send responses without blocking. Stateless and thread-safe. */
public final class Exchanges {
    /** Largest body of a request, in bytes. */
    static final AttachmentKey<Integer> MAX_BODY_BYTES = AttachmentKey.create(Integer.class);

    private Exchanges() {}

    /**
     * Returns the receiver that collects the body up to the limit of the server. It takes the request channel, so that nothing
     * else can read the body.
     *
     * @param exchange exchange whose body has not been read
     * @return receiver that reports larger bodies as an error
     */
    public static Receiver receiver(HttpServerExchange exchange) {
        final Receiver receiver = exchange.getRequestReceiver();
        Optional.ofNullable(exchange.getAttachment(MAX_BODY_BYTES)).ifPresent(receiver::setMaxBufferSize);
        return receiver;
    }

    /**
     * Reads the whole request body, then passes it to the handler. Responds with status 413 if the body is too large.
     *
     * @param exchange exchange whose body has not been read
     * @param handler receives the body on an I/O thread
     */
    public static void readBody(HttpServerExchange exchange, Consumer<byte[]> handler) {
        receiver(exchange)
                .receiveFullBytes(
                        (ignored, bytes) -> exchange.dispatch(SameThreadExecutor.INSTANCE, () -> handler.accept(bytes)),
                        (ignored, error) -> {
                            exchange.setPersistent(false);
                            exchange.setStatusCode(413).endExchange();
                        });
    }

    /**
     * Sends a JSON response. Does nothing if a response has already been started.
     *
     * @param exchange exchange to complete
     * @param status HTTP status
     * @param message record, map or string to encode as the body
     */
    public static void respond(HttpServerExchange exchange, int status, Object message) {
        respond(exchange, status, "application/json", Json.encode(message));
    }

    /**
     * Sends a response. Does nothing if a response has already been started.
     *
     * @param exchange exchange to complete
     * @param status HTTP status
     * @param contentType value of the {@code Content-Type} header
     * @param body whole body, empty for none
     */
    public static void respond(HttpServerExchange exchange, int status, String contentType, byte[] body) {
        if (exchange.isInIoThread()) {
            send(exchange, status, contentType, body);
        } else {
            // Only the I/O thread writes to the connection, so that writes of different threads are not interleaved.
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
     * Returns a request header.
     *
     * @param exchange exchange of the request
     * @param name header name, in any case
     * @return trimmed first value, empty if the header is missing or blank
     */
    public static Optional<String> header(HttpServerExchange exchange, String name) {
        return Optional.ofNullable(exchange.getRequestHeaders().getFirst(name))
                .map(String::trim)
                .filter(value -> !value.isEmpty());
    }

    /**
     * Returns the total size of the request headers.
     *
     * @param exchange exchange of the request
     * @return number of characters in all names and values
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
     * Returns a query parameter.
     *
     * @param exchange exchange of the request
     * @param name parameter name
     * @return first value, empty if the parameter is missing
     */
    public static Optional<String> query(HttpServerExchange exchange, String name) {
        return Optional.ofNullable(exchange.getQueryParameters().get(name)).map(values -> values.peekFirst());
    }

    /**
     * Returns an integer query parameter.
     *
     * @param exchange exchange of the request
     * @param name parameter name
     * @param fallback value to use if the parameter is missing or not an integer
     * @return first value of the parameter, or the fallback
     */
    public static long queryLong(HttpServerExchange exchange, String name, long fallback) {
        try {
            return query(exchange, name).map(Long::parseLong).orElse(fallback);
        } catch (NumberFormatException e) {
            return fallback;
        }
    }
}
