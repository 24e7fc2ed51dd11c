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
import org.masticpaddle.wire.Exchanges;
import org.masticpaddle.wire.Json;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

/**
 * Reads request bodies with a timeout. A connection whose body is rejected is closed after the response, because the
 * rest of that body would follow on it. Thread-safe; never blocks.
 */
final class BodyReader {
    // If the connection were closed immediately, the operating system would reset it on receipt of the rest of the
    // body, and the response would be lost.
    private static final long CLOSE_DELAY_MILLIS = 1_000;
    private static final IoCallback CLOSE_AFTER_DELAY = new IoCallback() {
        @Override
        public void onComplete(HttpServerExchange exchange, Sender sender) {
            exchange.getIoThread()
                    .executeAfter(
                            () -> IoUtils.safeClose(exchange.getConnection()),
                            CLOSE_DELAY_MILLIS,
                            TimeUnit.MILLISECONDS);
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

    /**
     * Reads the body, then calls the handler on the exchange's I/O thread. If the body is too large,
     * incomplete or late, responds with an error instead.
     */
    void read(HttpServerExchange exchange, Consumer<byte[]> handler) {
        // The callbacks of the receiver and of the timer run on the same thread, so they never run concurrently.
        final XnioExecutor.Key timer = exchange.getIoThread()
                .executeAfter(
                        () -> reject(
                                exchange,
                                CallerError.notRun(
                                        CallerError.Kind.REQUEST_TIMEOUT,
                                        "the body did not arrive within " + timeoutMillis + " ms")),
                        timeoutMillis,
                        TimeUnit.MILLISECONDS);
        Exchanges.receiver(exchange)
                .receiveFullBytes(
                        (ignored, body) -> {
                            timer.remove();
                            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> handler.accept(body));
                        },
                        (ignored, error) -> {
                            timer.remove();
                            reject(
                                    exchange,
                                    CallerError.notRun(
                                            CallerError.Kind.BODY_TOO_LARGE, "the body is too large or broke off"));
                        });
    }

    private static void reject(HttpServerExchange exchange, CallerError error) {
        if (exchange.isResponseStarted()) {
            return;
        }
        AccessLog.logRejection(exchange.getRequestMethod().toString(), exchange.getRequestPath(), error);
        exchange.setPersistent(false);
        exchange.setStatusCode(error.kind().status());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(ByteBuffer.wrap(Json.encode(CallerErrorBody.of(error))), CLOSE_AFTER_DELAY);
    }
}
