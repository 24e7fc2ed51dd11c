package org.masticpaddle.gateway;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.masticpaddle.wire.CloseListeners;
import org.masticpaddle.wire.DisconnectDetector;
import org.masticpaddle.wire.ResponseStream;
import org.xnio.IoUtils;

/** A caller behind an Undertow exchange whose request has been read whole. Used on the event loop only. */
final class UndertowCaller implements CallerExchange {
    /** Bytes of a stream that may wait for a caller that reads slowly. */
    private static final long MAX_PENDING_BYTES = 512 * 1024;

    private final HttpServerExchange exchange;
    private ResponseStream stream;

    UndertowCaller(HttpServerExchange exchange) {
        this.exchange = Objects.requireNonNull(exchange, "exchange is null");
    }

    @Override
    public void answer(int status, Map<String, String> headers, byte[] body) {
        if (exchange.isResponseStarted()) {
            return;
        }
        exchange.setStatusCode(status);
        headers.forEach((name, value) -> exchange.getResponseHeaders().put(new HttpString(name), value));
        exchange.getResponseSender().send(ByteBuffer.wrap(body));
    }

    @Override
    public void begin(int status, Map<String, String> headers) {
        final Map<String, String> others = new HashMap<>(headers);
        final String type = others.remove("content-type");
        others.forEach((name, value) -> exchange.getResponseHeaders().put(new HttpString(name), value));
        if (exchange.isHttp11()) {
            // On a connection that closes after the answer, the server would send no chunks, and a stream that was cut
            // would look complete.
            exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
        }
        stream = ResponseStream.start(exchange, status, type == null ? "text/event-stream" : type, MAX_PENDING_BYTES);
    }

    @Override
    public void piece(byte[] bytes) {
        stream.write(bytes);
    }

    @Override
    public void end() {
        stream.end();
    }

    @Override
    public void cut() {
        IoUtils.safeClose(exchange.getConnection());
    }

    @Override
    public void onGone(Runnable action) {
        CloseListeners.add(exchange, action);
        DisconnectDetector.start(exchange, DisconnectDetector.HalfClosePolicy.CLOSE);
    }
}
