package org.masticpaddle.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import org.masticpaddle.decisions.Decision;
import org.masticpaddle.memory.MemoryBudget;
import org.masticpaddle.wire.CloseListeners;
import org.masticpaddle.wire.DisconnectDetector;
import org.masticpaddle.wire.ResponseStream;
import org.masticpaddle.wire.UnreadBody;
import org.xnio.IoUtils;

/**
 * Responds through an Undertow exchange; discards what was not read of the request body.
 *
 * <p>Invariant: the bytes of an answer are reserved in the memory for answers until the connection has taken them or is closed. Used on
 * the event loop only.
 */
final class UndertowCaller implements CallerExchange, CallerBacklog.Listener {
    /** Size above which an answer is written in parts. */
    private static final int MAX_SINGLE_WRITE_BYTES = 16 * 1024;

    private final HttpServerExchange exchange;
    private final GatewayContext context;
    private final String requestId;
    private final CallerBacklog backlog;
    private ReadingListener readingListener = reading -> {};
    private ResponseStream stream;

    /**
     * Creates a caller that has received nothing.
     *
     * @param exchange exchange of the request
     * @param context memory for answers, clock, log and counters
     * @param requestId identifier of the request, for the log
     */
    UndertowCaller(HttpServerExchange exchange, GatewayContext context, String requestId) {
        this.exchange = Objects.requireNonNull(exchange, "exchange is null");
        this.context = Objects.requireNonNull(context, "context is null");
        this.requestId = Objects.requireNonNull(requestId, "requestId is null");
        backlog = new CallerBacklog(context.answerMemory(), context.scheduler(), this);
        exchange.addExchangeCompleteListener((completed, next) -> {
            backlog.close();
            next.proceed();
        });
        CloseListeners.add(exchange, backlog::close);
    }

    @Override
    public void respond(int status, Map<String, String> headers, byte[] body) {
        if (exchange.isResponseStarted()) {
            return;
        }
        exchange.setStatusCode(status);
        headers.forEach((name, value) -> exchange.getResponseHeaders().put(new HttpString(name), value));
        backlog.send(body.length, () -> {
            if (body.length > MAX_SINGLE_WRITE_BYTES && exchange.isRequestComplete() && !isHead()) {
                stream = ResponseStream.send(exchange, body, backlog::taken);
            } else {
                UnreadBody.respond(exchange, body);
            }
        });
    }

    private boolean isHead() {
        return Methods.HEAD.equals(exchange.getRequestMethod());
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
                exchange, status, contentType == null ? "text/event-stream" : contentType, backlog::taken);
    }

    @Override
    public void writeChunk(byte[] bytes) {
        backlog.send(bytes.length, () -> stream.write(bytes));
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

    @Override
    public void setReadingListener(ReadingListener listener) {
        readingListener = listener;
    }

    @Override
    public void onReading(boolean reading) {
        readingListener.read(reading);
    }

    @Override
    public void onGivenUp(String reason) {
        context.counters().add(GatewayCounters.Counter.ANSWERS_GIVEN_UP);
        context.log()
                .write(
                        Decision.ANSWER_GIVEN_UP,
                        "request",
                        requestId,
                        "reason",
                        reason,
                        "bytes_waiting",
                        backlog.waitingBytes(),
                        "nothing_taken_ms",
                        backlog.stallMillis(),
                        "bytes_collected",
                        context.answerMemory().heldBytes(MemoryBudget.Kind.COLLECTED),
                        "bytes_queued",
                        context.answerMemory().heldBytes(MemoryBudget.Kind.QUEUED));
        if (stream != null) {
            stream.abort();
        } else {
            abort();
        }
    }
}
