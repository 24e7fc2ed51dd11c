package org.masticpaddle.wire;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Guards against a response that ends with its connection and is taken for broken, or that is broken and taken for whole. */
@Timeout(60)
class ConnectionEndTest {
    private static final String BODY = "body";

    @RegisterExtension
    final ClientFixture fixture = new ClientFixture();

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\n\r\n",
                "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
                "HTTP/1.0 200 OK\r\n\r\n",
                "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\n"
            })
    void shouldReceiveWholeBody(String head) throws Exception {
        final HttpResponse response = send(head + BODY, false).get(10, TimeUnit.SECONDS);
        assertThat(new String(response.body(), StandardCharsets.UTF_8)).isEqualTo(BODY);
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n"})
    void shouldReceiveEmptyBody(String head) throws Exception {
        assertThat(send(head, false).get(10, TimeUnit.SECONDS).body()).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "HTTP/1.1 200 OK\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n"
            })
    void shouldFailIfConnectionEndsBeforeTheResponse(String beginning) {
        final CompletableFuture<HttpResponse> response = send(beginning + BODY, false);
        assertThrows(ExecutionException.class, () -> response.get(10, TimeUnit.SECONDS));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\n\r\n",
                "HTTP/1.0 200 OK\r\n\r\n",
                "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
            })
    void shouldFailIfConnectionIsReset(String head) {
        final CompletableFuture<HttpResponse> response = send(head + BODY, true);
        assertThrows(ExecutionException.class, () -> response.get(10, TimeUnit.SECONDS));
    }

    /** Sends a request and answers it with bytes and the end of the connection. */
    private CompletableFuture<HttpResponse> send(String answer, boolean reset) {
        final Thread peer = new Thread(() -> answer(answer, reset));
        peer.setDaemon(true);
        peer.start();
        return fixture.client()
                .send(new HttpRequest(
                        URI.create("http://127.0.0.1:" + fixture.server().getLocalPort()),
                        "GET",
                        "/",
                        Map.of(),
                        new byte[0],
                        Duration.ofSeconds(30),
                        false));
    }

    private void answer(String answer, boolean reset) {
        try (Socket socket = fixture.server().accept()) {
            final byte[] request = new byte[4_096];
            assertThat(socket.getInputStream().read(request)).isGreaterThan(0);
            socket.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
            if (reset) {
                socket.setSoLinger(true, 0);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
