package org.masticpaddle.entry;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicBoolean;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import org.masticpaddle.wire.CloseListeners;
import org.masticpaddle.wire.Frame;
import org.masticpaddle.wire.Json;
import org.masticpaddle.wire.ResponseStream;

/** Streams a chat completion as server-sent events. The stream begins with the first text. */
final class StreamResponder implements Responder {
    private static final long MAX_PENDING_BYTES = 1 << 20;
    private static final byte[] DONE = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

    private final HttpServerExchange exchange;
    private final String requestId;
    private final AtomicBoolean ended = new AtomicBoolean();
    private final long createdSeconds = System.currentTimeMillis() / 1000;
    private ResponseStream stream;
    private String version = "";
    private Runnable callerGone = () -> {};

    StreamResponder(HttpServerExchange exchange, String requestId) {
        this.exchange = exchange;
        this.requestId = requestId;
    }

    @Override
    public void header(String name, String value) {
        if ("Masticpaddle-Version".equals(name)) {
            version = value;
        }
        if (stream == null) {
            exchange.getResponseHeaders().put(new HttpString(name), value);
        }
    }

    @Override
    public boolean bytes(byte[] bytes) {
        begin();
        return stream.write(
                event(ChatCompletions.delta(requestId, version, createdSeconds, new String(bytes, StandardCharsets.UTF_8))));
    }

    @Override
    public void complete(Frame.End end) {
        if (ended.compareAndSet(false, true)) {
            begin();
            stream.write(event(ChatCompletions.last(requestId, version, createdSeconds, end.finishReason(), end.charge())));
            stream.write(DONE);
            stream.end();
        }
    }

    @Override
    public void fail(CallerError refusal) {
        if (!ended.compareAndSet(false, true)) {
            return;
        }
        if (stream == null) {
            CallerErrorWriter.send(exchange, refusal);
            return;
        }
        stream.write(event(CallerErrorBody.of(refusal)));
        stream.end();
    }

    @Override
    public boolean begun() {
        return stream != null;
    }

    @Override
    public void onCallerGone(Runnable action) {
        callerGone = () -> {
            if (!ended.get()) {
                action.run();
            }
        };
        CloseListeners.add(exchange, callerGone);
    }

    private void begin() {
        if (stream == null) {
            stream = ResponseStream.start(exchange, 200, "text/event-stream", MAX_PENDING_BYTES);
            stream.onClosed(callerGone);
        }
    }

    private static byte[] event(Object message) {
        return ("data: " + new String(Json.encode(message), StandardCharsets.UTF_8) + "\n\n")
                .getBytes(StandardCharsets.UTF_8);
    }
}
