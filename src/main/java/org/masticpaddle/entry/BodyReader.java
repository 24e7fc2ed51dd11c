package org.masticpaddle.entry;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import org.masticpaddle.wire.Json;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

/**
 * Reads whole bodies within a bounded time. A connection whose body is refused is closed after the answer, since what
 * follows on it is the rest of that body. Thread-safe; never blocks.
 */
final class BodyReader {
    // Closed at once, the rest of the body would have the operating system reset the connection, and the answer be
    // lost.
    private static final long LINGER_MILLIS = 1_000;
    private static final IoCallback CLOSE = new IoCallback() {
        @Override
        public void onComplete(HttpServerExchange exchange, Sender sender) {
            exchange.getIoThread()
                    .executeAfter(
                            () -> IoUtils.safeClose(exchange.getConnection()), LINGER_MILLIS, TimeUnit.MILLISECONDS);
        }

        @Override
        public void onException(HttpServerExchange exchange, Sender sender, IOException exception) {
            IoUtils.safeClose(exchange.getConnection());
        }
    };

    private final long timeoutMillis;

    BodyReader(long timeoutMillis) {
        this.timeoutMillis = timeoutMillis;
    }

    /** Reads the body, then calls the handler on the exchange's input/output thread. */
    void read(HttpServerExchange exchange, Consumer<byte[]> handler) {
        // Callbacks of the receiver and the timer run on this one thread, so they exclude each other.
        final XnioExecutor.Key timer = exchange.getIoThread()
                .executeAfter(
                        () -> refuse(
                                exchange,
                                CallerError.notRun(
                                        CallerError.Kind.REQUEST_TIMEOUT,
                                        "the body did not arrive within " + timeoutMillis + " ms")),
                        timeoutMillis,
                        TimeUnit.MILLISECONDS);
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (ignored, body) -> {
                            timer.remove();
                            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> handler.accept(body));
                        },
                        (ignored, error) -> {
                            timer.remove();
                            refuse(
                                    exchange,
                                    CallerError.notRun(CallerError.Kind.BODY_TOO_LARGE, "the body is too large or broke off"));
                        });
    }

    private static void refuse(HttpServerExchange exchange, CallerError refusal) {
        if (exchange.isResponseStarted()) {
            return;
        }
        AccessLog.refused(exchange.getRequestMethod().toString(), exchange.getRequestPath(), refusal);
        exchange.setPersistent(false);
        exchange.setStatusCode(refusal.kind().status());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(ByteBuffer.wrap(Json.encode(CallerErrorBody.of(refusal))), CLOSE);
    }
}
