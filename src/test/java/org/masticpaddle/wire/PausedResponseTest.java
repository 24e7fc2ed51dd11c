package org.masticpaddle.wire;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.undertow.server.HttpServerExchange;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static com.google.common.truth.Truth.assertThat;

/** Guards against a response that is read while it is paused, and against one that does not go on after that. */
@Timeout(60)
class PausedResponseTest {
    private static final int BODY_BYTES = 8 * 1024 * 1024;

    private final EventLoop loop = new EventLoop("test");
    private final HttpClient client = new HttpClient(loop, ConnectionTimeouts.DEFAULT);
    private final HttpServer server = new HttpServer("127.0.0.1", 0, 1, 0, PausedResponseTest::handle);

    @BeforeEach
    void start() {
        client.start();
        server.start();
    }

    @AfterEach
    void stop() {
        server.stop();
        client.stop();
        loop.stop();
    }

    @Test
    void shouldReadNothingWhilePausedAndTheWholeBodyAfterIt() throws Exception {
        final PausingListener listener = new PausingListener();
        listener.handle.complete(client.stream(request(), listener));
        listener.firstBytes.get(10, TimeUnit.SECONDS);
        assertThat(client.send(request()).get(10, TimeUnit.SECONDS).body()).hasLength(BODY_BYTES);
        final StreamHandle handle = listener.handle.join();
        loop.execute(() -> {
            listener.paused = false;
            handle.resume();
        });
        handle.finished().get(10, TimeUnit.SECONDS);
        assertThat(listener.readWhilePaused).isFalse();
        assertThat(listener.bytes).isEqualTo(BODY_BYTES);
    }

    private HttpRequest request() {
        return new HttpRequest(
                URI.create("http://127.0.0.1:" + server.port()),
                "GET",
                "/",
                Map.of(),
                new byte[0],
                Duration.ofSeconds(30),
                false);
    }

    private static void handle(HttpServerExchange exchange) {
        Exchanges.respond(exchange, 200, "text/plain", "x".repeat(BODY_BYTES).getBytes(StandardCharsets.US_ASCII));
    }

    /** Pauses the response when its first bytes arrive. Used on the event loop. */
    private static final class PausingListener implements StreamListener {
        private final CompletableFuture<StreamHandle> handle = new CompletableFuture<>();
        private final CompletableFuture<Void> firstBytes = new CompletableFuture<>();
        private boolean paused;
        private volatile boolean readWhilePaused;
        private volatile int bytes;

        @Override
        public void onHead(int status, Map<String, String> headers) {}

        @Override
        public void onBytes(byte[] received) {
            readWhilePaused |= paused;
            bytes += received.length;
            if (!firstBytes.isDone()) {
                paused = true;
                handle.join().pause();
                firstBytes.complete(null);
            }
        }
    }
}
