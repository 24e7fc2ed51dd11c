package org.masticpaddle.entry;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import org.masticpaddle.wire.CloseListeners;
import org.masticpaddle.wire.Exchanges;
import org.masticpaddle.wire.Frame;

/** Collects an answer and sends it in one piece, so that any failure before the end can still be repaired or told. */
final class BufferingResponder implements Responder {
    private final HttpServerExchange exchange;
    private final String requestId;
    private final Format format;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final AtomicBoolean ended = new AtomicBoolean();
    private int status = 200;
    private Map<String, String> upstreamHeaders = Map.of();

    BufferingResponder(HttpServerExchange exchange, String requestId, Format format) {
        this.exchange = exchange;
        this.requestId = requestId;
        this.format = format;
    }

    @Override
    public void header(String name, String value) {
        if (!ended.get()) {
            exchange.getResponseHeaders().put(new HttpString(name), value);
        }
    }

    @Override
    public void head(int upstreamStatus, Map<String, String> headers) {
        status = upstreamStatus;
        upstreamHeaders = headers;
    }

    @Override
    public boolean bytes(byte[] bytes) {
        body.writeBytes(bytes);
        return exchange.getConnection().isOpen();
    }

    @Override
    public void restart() {
        body.reset();
        status = 200;
        upstreamHeaders = Map.of();
    }

    @Override
    public void complete(Frame.End end) {
        if (ended.compareAndSet(false, true)) {
            exchange.getResponseHeaders()
                    .put(new HttpString("Masticpaddle-Cost"), end.charge().billedMicros());
            format.send(this, end);
        }
    }

    @Override
    public void fail(CallerError refusal) {
        if (ended.compareAndSet(false, true)) {
            CallerErrorWriter.send(exchange, refusal);
        }
    }

    @Override
    public boolean begun() {
        return false;
    }

    @Override
    public void onCallerGone(Runnable action) {
        CloseListeners.add(exchange, () -> {
            if (!ended.get()) {
                action.run();
            }
        });
    }

    /** Form of the answer. */
    enum Format {
        /** JSON of a chat completion around the text. */
        CHAT {
            @Override
            void send(BufferingResponder responder, Frame.End end) {
                final String version = end.charge().model() + "/" + end.charge().version();
                Exchanges.respond(
                        responder.exchange,
                        200,
                        ChatCompletions.whole(
                                responder.requestId,
                                version,
                                System.currentTimeMillis() / 1000,
                                responder.body.toString(StandardCharsets.UTF_8),
                                end.finishReason(),
                                end.charge()));
            }
        },
        /** Status, content type and body of the upstream as they are. */
        PLAIN {
            @Override
            void send(BufferingResponder responder, Frame.End end) {
                Exchanges.respond(
                        responder.exchange,
                        responder.status,
                        responder.upstreamHeaders.getOrDefault("content-type", "application/octet-stream"),
                        responder.body.toByteArray());
            }
        };

        abstract void send(BufferingResponder responder, Frame.End end);
    }
}
