package org.masticpaddle.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.masticpaddle.wire.CloseListeners;
import org.masticpaddle.wire.DisconnectDetector;
import org.masticpaddle.wire.ResponseStream;
import org.masticpaddle.wire.UnreadBody;
import org.xnio.IoUtils;

/** Responds through an Undertow exchange; discards what was not read of the request body. Used on the event loop only. */
final class UndertowCaller implements CallerExchange {
    /** Limit of the bytes of a stream that are buffered for a caller that reads slowly. */
    private static final long MAX_PENDING_BYTES = 512 * 1024;

    private final HttpServerExchange exchange;
    private ResponseStream stream;

    UndertowCaller(HttpServerExchange exchange) {
        this.exchange = Objects.requireNonNull(exchange, "exchange is null");
    }

    @Override
    public void respond(int status, Map<String, String> headers, byte[] body) {
        if (exchange.isResponseStarted()) {
            return;
        }
        exchange.setStatusCode(status);
        headers.forEach((name, value) -> exchange.getResponseHeaders().put(new HttpString(name), value));
        UnreadBody.respond(exchange, body);
    }

    @Override
    public void startStream(int status, Map<String, String> headers) {
        final Map<String, String> otherHeaders = new HashMap<>(headers);
        final String contentType = otherHeaders.remove("content-type");
        otherHeaders.forEach((name, value) -> exchange.getResponseHeaders().put(new HttpString(name), value));
        if (exchange.isHttp11()) {
            // Without the header, the server sends no chunks on a connection that closes after the response, and an
            // aborted stream looks complete.
            exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
        }
        stream = ResponseStream.start(
                exchange, status, contentType == null ? "text/event-stream" : contentType, MAX_PENDING_BYTES);
    }

    @Override
    public void writeChunk(byte[] bytes) {
        stream.write(bytes);
    }

    @Override
    public void endStream() {
        stream.end();
    }

    @Override
    public void abort() {
        IoUtils.safeClose(exchange.getConnection());
    }

    @Override
    public boolean disconnected() {
        return DisconnectDetector.hasDisconnected(exchange);
    }

    @Override
    public void onDisconnect(Runnable action) {
        CloseListeners.add(exchange, action);
        DisconnectDetector.start(exchange, DisconnectDetector.HalfClosePolicy.CLOSE);
    }
}
