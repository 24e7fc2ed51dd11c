package org.masticpaddle.wire;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static com.google.common.truth.Truth.assertThat;

/** Guards against requests that are read before their process can handle them, and against connections that are refused then. */
@Timeout(60)
class HttpServerAcceptTest {
    private static final long OBSERVATION_MILLIS = 200;

    @Test
    void shouldLetConnectionsWaitUntilItAccepts() throws Exception {
        final AtomicInteger requests = new AtomicInteger();
        final HttpServer server = new HttpServer("127.0.0.1", 0, 1, 1_000, exchange -> {
            requests.incrementAndGet();
            Exchanges.respond(exchange, 200, "whole");
        });
        server.acceptLater();
        server.start();
        try (Socket caller = new Socket("127.0.0.1", server.port())) {
            caller.getOutputStream()
                    .write("GET / HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            Thread.sleep(OBSERVATION_MILLIS);
            assertThat(requests.get()).isEqualTo(0);

            server.accept();

            assertThat(new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII))
                    .contains("200 OK");
        } finally {
            server.stop();
        }
    }
}
