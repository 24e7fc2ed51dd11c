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

/** Buffers an answer and sends it once it is complete, so that until then a retry or an error response is possible. */
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
    public void setHeader(String name, String value) {
        if (!ended.get()) {
            exchange.getResponseHeaders().put(new HttpString(name), value);
        }
    }

    @Override
    public void setHead(int upstreamStatus, Map<String, String> headers) {
        status = upstreamStatus;
        upstreamHeaders = headers;
    }

    @Override
    public boolean write(byte[] bytes) {
        body.writeBytes(bytes);
        return exchange.getConnection().isOpen();
    }

    @Override
    public void reset() {
        body.reset();
        status = 200;
        upstreamHeaders = Map.of();
    }

    @Override
    public void complete(Frame.End end) {
        if (ended.compareAndSet(false, true)) {
            exchange.getResponseHeaders()
                    .put(new HttpString("Masticpaddle-Cost"), end.charge().billedMicros());
            format.sendAnswer(this, end);
        }
    }

    @Override
    public void fail(CallerError error) {
        if (ended.compareAndSet(false, true)) {
            CallerErrorWriter.send(exchange, error);
        }
    }

    @Override
    public boolean started() {
        return false;
    }

    @Override
    public void onCallerDisconnect(Runnable action) {
        CloseListeners.add(exchange, () -> {
            if (!ended.get()) {
                action.run();
            }
        });
    }

    /** Format of the response. */
    enum Format {
        /** The buffered text in the JSON of a chat completion. */
        CHAT {
            @Override
            void sendAnswer(BufferingResponder responder, Frame.End end) {
                final String version = end.charge().model() + "/" + end.charge().version();
                Exchanges.respond(
                        responder.exchange,
                        200,
                        ChatCompletions.completion(
                                responder.requestId,
                                version,
                                System.currentTimeMillis() / 1000,
                                responder.body.toString(StandardCharsets.UTF_8),
                                end.finishReason(),
                                end.charge()));
            }
        },
        /** Status, content type and body of the upstream, unchanged. */
        PLAIN {
            @Override
            void sendAnswer(BufferingResponder responder, Frame.End end) {
                Exchanges.respond(
                        responder.exchange,
                        responder.status,
                        responder.upstreamHeaders.getOrDefault("content-type", "application/octet-stream"),
                        responder.body.toByteArray());
            }
        };

        abstract void sendAnswer(BufferingResponder responder, Frame.End end);
    }
}
