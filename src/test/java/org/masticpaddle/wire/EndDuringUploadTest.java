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
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;

import static com.google.common.truth.Truth.assertThat;

/** Guards against a whole response without a length that fails because it ends before its request is written. */
@Timeout(60)
class EndDuringUploadTest {
    /** More than the buffers of a connection hold. */
    private static final byte[] BODY = new byte[16 * 1024 * 1024];

    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    @RegisterExtension
    final ClientFixture fixture = new ClientFixture();

    private final CountDownLatch received = new CountDownLatch(1);

    @Test
    void shouldReceiveResponseThatEndsDuringTheUpload() throws Exception {
        try (ServerSocket server = new ServerSocket()) {
            server.setReceiveBufferSize(4 * 1024);
            server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            final Thread peer = new Thread(() -> answerAndEnd(server));
            peer.setDaemon(true);
            peer.start();
            final HttpRequest request = new HttpRequest(
                    URI.create("http://127.0.0.1:" + server.getLocalPort()),
                    "POST",
                    "/",
                    Map.of(),
                    BODY,
                    TIMEOUT,
                    true);
            final HttpResponse response = fixture.client().send(request).get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
            assertThat(response.status()).isEqualTo(200);
            assertThat(new String(response.body(), StandardCharsets.ISO_8859_1)).isEqualTo("whole");
        } finally {
            received.countDown();
        }
    }

    /** Ends the output in an orderly way, while nothing of the request's body is read. */
    private void answerAndEnd(ServerSocket server) {
        try (Socket socket = server.accept()) {
            socket.getInputStream().readNBytes(1);
            socket.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\nwhole".getBytes(StandardCharsets.ISO_8859_1));
            socket.shutdownOutput();
            if (!received.await(TIMEOUT.toSeconds(), TimeUnit.SECONDS)) {
                throw new IllegalStateException("the response was not received");
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
