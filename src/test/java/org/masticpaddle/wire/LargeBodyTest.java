package org.masticpaddle.wire;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against a client that closes its sending side after a body that does not fit into the send buffer at once. */
class LargeBodyTest {
    private static final int BODY_BYTES = 16 * 1024 * 1024;
    private static final int RECEIVE_BUFFER_BYTES = 4 * 1024;
    /** Time within which the peer sees the end of a half-closed loopback connection. */
    private static final int HALF_CLOSE_TIMEOUT_MILLIS = 300;

    private static final String RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    private final EventLoop loop = new EventLoop("test");
    private final HttpClient client =
            new HttpClient(loop, new ConnectionTimeouts(Duration.ofSeconds(5), Duration.ofSeconds(5)));

    @BeforeEach
    void start() {
        loop.start();
        client.start();
    }

    @AfterEach
    void stop() {
        client.stop();
        loop.stop();
    }

    @Test
    void shouldSendABodyThatThePeerReadsSlowly() throws IOException {
        try (ServerSocket server = new ServerSocket()) {
            server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            final CompletableFuture<Boolean> responded = CompletableFuture.supplyAsync(() -> serve(server));
            final HttpResponse response = client.send(new HttpRequest(
                            URI.create("http://127.0.0.1:" + server.getLocalPort()),
                            "POST",
                            "/",
                            Map.of(),
                            new byte[BODY_BYTES],
                            Duration.ofSeconds(20),
                            true))
                    .join();
            assertThat(response.status()).isEqualTo(200);
            assertThat(responded.join()).isTrue();
        }
    }

    /**
     * Reads a request and responds unless the client closes its sending side, which servers can take for a disconnect.
     */
    private static boolean serve(ServerSocket server) {
        try (Socket socket = server.accept()) {
            final BufferedInputStream input = new BufferedInputStream(socket.getInputStream(), RECEIVE_BUFFER_BYTES);
            skipHead(input);
            input.skipNBytes(BODY_BYTES);
            socket.setSoTimeout(HALF_CLOSE_TIMEOUT_MILLIS);
            if (isEndOfStream(input)) {
                return false;
            }
            socket.getOutputStream().write(RESPONSE.getBytes(StandardCharsets.US_ASCII));
            return true;
        } catch (IOException e) {
            throw new IllegalStateException("cannot serve", e);
        }
    }

    private static void skipHead(InputStream input) throws IOException {
        int newlines = 0;
        while (newlines < 2) {
            final int next = input.read();
            if (next == '\n') {
                newlines++;
            } else if (next != '\r') {
                newlines = 0;
            }
        }
    }

    private static boolean isEndOfStream(InputStream input) throws IOException {
        try {
            return input.read() < 0;
        } catch (SocketTimeoutException e) {
            return false;
        }
    }
}
