package org.masticpaddle.wire;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against listeners that accumulate on a reused connection, and against connections of cancelled requests that
 * stay open.
 */
class CloseListenersTest {
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);

    private final HttpClient client = new HttpClient(1);

    @BeforeEach
    void start() {
        client.start();
    }

    @AfterEach
    void stop() {
        client.stop();
    }

    @Test
    void shouldRemoveTheListenersOfCompletedExchanges() {
        final List<Integer> listenerCounts = Collections.synchronizedList(new ArrayList<>());
        final HttpServer server = new HttpServer("127.0.0.1", 0, 1, 1_000, exchange -> {
            CloseListeners.add(exchange, () -> {});
            listenerCounts.add(CloseListeners.count(exchange));
            Exchanges.respond(exchange, 200, "done");
        });
        server.start();
        try {
            for (int request = 0; request < 20; request++) {
                client.send(HttpRequest.get(origin(server), "/x", IDLE_TIMEOUT)).join();
            }
        } finally {
            server.stop();
        }
        assertThat(Collections.max(listenerCounts)).isEqualTo(1);
    }

    @Test
    void shouldCloseTheConnectionOfACancelledRequest() throws Exception {
        final CompletableFuture<Void> arrived = new CompletableFuture<>();
        final CompletableFuture<Void> closed = new CompletableFuture<>();
        final HttpServer server = new HttpServer(
                "127.0.0.1",
                0,
                1,
                1_000,
                exchange -> exchange.dispatch(() -> {
                    CloseListeners.add(exchange, () -> closed.complete(null));
                    DisconnectDetector.start(exchange);
                    arrived.complete(null);
                }));
        server.start();
        try {
            final StreamHandle handle =
                    client.stream(HttpRequest.get(origin(server), "/x", IDLE_TIMEOUT), new StreamListener() {
                        @Override
                        public void onHead(int status, Map<String, String> headers) {}

                        @Override
                        public void onBytes(byte[] bytes) {}
                    });
            arrived.get(30, TimeUnit.SECONDS);
            handle.cancel();
            closed.get(30, TimeUnit.SECONDS);
        } finally {
            server.stop();
        }
    }

    private static URI origin(HttpServer server) {
        return URI.create("http://127.0.0.1:" + server.port());
    }
}
