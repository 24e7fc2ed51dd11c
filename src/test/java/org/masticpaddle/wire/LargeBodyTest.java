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

/** Guards against a half-closed connection after a body that does not fit into the buffers of the connection at once. */
class LargeBodyTest {
    private static final int BODY_BYTES = 16 * 1024 * 1024;
    private static final int WINDOW_BYTES = 4 * 1024;
    /** Time in which a half-closed connection shows at its peer on loopback. */
    private static final int HALF_CLOSE_MILLIS = 300;

    private static final String ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

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
            server.setReceiveBufferSize(WINDOW_BYTES);
            server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            final CompletableFuture<Boolean> kept = CompletableFuture.supplyAsync(() -> serve(server));
            final HttpResponse answer = client.send(new HttpRequest(
                            URI.create("http://127.0.0.1:" + server.getLocalPort()),
                            "POST",
                            "/",
                            Map.of(),
                            new byte[BODY_BYTES],
                            Duration.ofSeconds(20),
                            true))
                    .join();
            assertThat(answer.status()).isEqualTo(200);
            assertThat(kept.join()).isTrue();
        }
    }

    /** Reads a request and answers it unless the caller closes its sending side, as peers do for callers that leave. */
    private static boolean serve(ServerSocket server) {
        try (Socket socket = server.accept()) {
            final BufferedInputStream input = new BufferedInputStream(socket.getInputStream(), WINDOW_BYTES);
            skipHead(input);
            input.skipNBytes(BODY_BYTES);
            socket.setSoTimeout(HALF_CLOSE_MILLIS);
            if (endsHere(input)) {
                return false;
            }
            socket.getOutputStream().write(ANSWER.getBytes(StandardCharsets.US_ASCII));
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

    private static boolean endsHere(InputStream input) throws IOException {
        try {
            return input.read() < 0;
        } catch (SocketTimeoutException e) {
            return false;
        }
    }
}
