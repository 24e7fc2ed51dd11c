package org.masticpaddle.wire;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Guards against peers that send bytes until the client closes the connection: memory and the event loop stay available. */
@Timeout(60)
class EndlessResponseTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\n";
    private static final byte[] BLOCK = "x".repeat(64 * 1024).getBytes(StandardCharsets.US_ASCII);

    @RegisterExtension
    final ClientFixture fixture = new ClientFixture();

    private final CountDownLatch closedByClient = new CountDownLatch(1);
    private final CountDownLatch flowing = new CountDownLatch(1);

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "HTTP/1.1 200 ",
                HEAD + "a: ",
                HEAD,
                HEAD + "\r\n",
                HEAD + "Transfer-Encoding: chunked\r\n\r\n",
                HEAD + "Transfer-Encoding: chunked\r\n\r\n7fffffff\r\n"
            })
    void shouldCloseConnectionThatNeverStopsSending(String beginning) throws Exception {
        sendEndlessly(beginning);
        final CompletableFuture<HttpResponse> response = fixture.client().send(request());
        assertThrows(ExecutionException.class, () -> response.get(20, TimeUnit.SECONDS));
        assertThat(closedByClient.await(5, TimeUnit.SECONDS)).isTrue();
    }

    @ParameterizedTest
    @ValueSource(strings = {HEAD + "a: ", HEAD + "\r\n"})
    void shouldServeOtherTasksMeanwhile(String beginning) throws Exception {
        sendEndlessly(beginning);
        final StreamHandle handle = fixture.client().stream(request(), new DiscardingListener());
        assertThat(flowing.await(5, TimeUnit.SECONDS)).isTrue();
        final CompletableFuture<Void> task = new CompletableFuture<>();
        fixture.loop().defer(() -> task.complete(null));
        task.get(1, TimeUnit.SECONDS);
        handle.cancel();
        assertThat(closedByClient.await(5, TimeUnit.SECONDS)).isTrue();
    }

    private HttpRequest request() {
        return new HttpRequest(
                URI.create("http://127.0.0.1:" + fixture.server().getLocalPort()),
                "GET",
                "/",
                Map.of(),
                new byte[0],
                Duration.ofSeconds(30),
                false);
    }

    private void sendEndlessly(String beginning) {
        final Thread sender = new Thread(() -> {
            try (Socket socket = fixture.server().accept()) {
                final OutputStream output = socket.getOutputStream();
                output.write(beginning.getBytes(StandardCharsets.US_ASCII));
                output.write(BLOCK);
                flowing.countDown();
                while (!fixture.server().isClosed()) {
                    output.write(BLOCK);
                }
            } catch (IOException e) {
                closedByClient.countDown();
            }
        });
        sender.setDaemon(true);
        sender.start();
    }

    /** Receives a response and keeps nothing of it. Thread-safe. */
    private static final class DiscardingListener implements StreamListener {
        @Override
        public void onHead(int status, Map<String, String> headers) {}

        @Override
        public void onBytes(byte[] bytes) {}
    }
}
