package org.masticpaddle.wire;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.undertow.server.HttpServerExchange;
import org.junit.jupiter.api.Test;
import org.masticpaddle.standin.Conditions;

import static com.google.common.truth.Truth.assertThat;

/** Guards against a shutdown that cuts answers which are decided but not yet sent. */
class HttpServerStopTest {
    @Test
    void shouldSendTheAnswersOfRunningExchangesBeforeItStops() throws Exception {
        final CompletableFuture<HttpServerExchange> running = new CompletableFuture<>();
        final HttpServer server = new HttpServer("127.0.0.1", 0, 1, 1_000, exchange -> {
            exchange.dispatch();
            running.complete(exchange);
        });
        server.start();
        try (Socket caller = new Socket("127.0.0.1", server.port())) {
            caller.setSoTimeout(30_000);
            caller.getOutputStream().write("GET / HTTP/1.1\r\nHost: test\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            final HttpServerExchange exchange = running.get(30, TimeUnit.SECONDS);
            final Thread stop = new Thread(server::stop);
            stop.start();
            // The stopping thread sleeps in its wait, or has ended if it does not wait.
            Conditions.await(
                    () -> stop.getState() == Thread.State.TIMED_WAITING || stop.getState() == Thread.State.TERMINATED);
            Exchanges.respond(exchange, 200, "whole");
            final StringBuilder answer = new StringBuilder();
            for (int next = caller.getInputStream().read();
                    next >= 0 && answer.indexOf("whole") < 0;
                    next = caller.getInputStream().read()) {
                answer.append((char) next);
            }
            assertThat(answer.toString()).contains("200 OK");
            stop.join();
        }
    }
}
