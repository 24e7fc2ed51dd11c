package org.masticpaddle.wire;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Guards against a response without a length whose connection is reset while the request is still being written, and of which
 * a part counts as the whole.
 */
@Timeout(60)
class ResetDuringUploadTest {
    private static final int REPETITIONS = 40;
    /** More than the buffers of a connection hold. */
    private static final byte[] BODY = new byte[16 * 1024 * 1024];

    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    @RegisterExtension
    final ClientFixture fixture = new ClientFixture();

    private final CountDownLatch received = new CountDownLatch(1);
    private ServerSocket server;

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket();
        server.setReceiveBufferSize(4 * 1024);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    @AfterEach
    void close() throws IOException {
        server.close();
    }

    @RepeatedTest(REPETITIONS)
    void shouldFailAfterResetBesideTheResponse() throws Exception {
        assertFails(false);
    }

    @RepeatedTest(REPETITIONS)
    void shouldFailAfterResetOfReceivedResponse() throws Exception {
        assertFails(true);
    }

    private void assertFails(boolean awaitingReceipt) throws Exception {
        final Thread peer = new Thread(() -> answerAndReset(awaitingReceipt));
        peer.setDaemon(true);
        peer.start();
        final HttpRequest request = new HttpRequest(
                URI.create("http://127.0.0.1:" + server.getLocalPort()), "POST", "/", Map.of(), BODY, TIMEOUT, true);
        final CompletableFuture<Void> finished =
                fixture.client().stream(request, new ReceiptListener()).finished();
        final ExecutionException error =
                assertThrows(ExecutionException.class, () -> finished.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS));
        assertThat(((HttpRequestException) error.getCause()).delivery())
                .isEqualTo(HttpRequestException.Delivery.POSSIBLY_SENT);
        peer.join(TIMEOUT.toMillis());
    }

    private void answerAndReset(boolean awaitingReceipt) {
        try (Socket socket = server.accept()) {
            socket.getInputStream().readNBytes(1);
            socket.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\npart".getBytes(StandardCharsets.ISO_8859_1));
            if (awaitingReceipt && !received.await(TIMEOUT.toSeconds(), TimeUnit.SECONDS)) {
                throw new IllegalStateException("the response was not received");
            }
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private final class ReceiptListener implements StreamListener {
        @Override
        public void onHead(int status, Map<String, String> headers) {}

        @Override
        public void onBytes(byte[] bytes) {
            received.countDown();
        }
    }
}
