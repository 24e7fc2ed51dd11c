package org.masticpaddle.wire;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Guards against requests that wait for the idle timeout although the peer resets the connection before they are
 * written.
 */
class ClosedConnectionTest {
    private static final int REQUEST_COUNT = 200;

    @Test
    void shouldFailAtOnceWhenThePeerResetsTheConnection() throws Exception {
        final HttpClient client = new HttpClient(1);
        client.start();
        try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))) {
            final Thread thread = new Thread(() -> resetAll(server), "reset-all");
            thread.setDaemon(true);
            thread.start();
            final URI origin = URI.create("http://127.0.0.1:" + server.getLocalPort());
            for (int index = 0; index < REQUEST_COUNT; index++) {
                final CompletableFuture<HttpResponse> response =
                        client.send(HttpRequest.get(origin, "/", Duration.ofHours(1)));
                final ExecutionException error =
                        assertThrows(ExecutionException.class, () -> response.get(30, TimeUnit.SECONDS));
                assertThat(error).hasCauseThat().isInstanceOf(HttpRequestException.class);
            }
        }
        client.stop();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"http://127.0.0.1:99999", "http://127.0.0.1:0", "http://10.0.0.999:80", "unknown://127.0.0.1:1"})
    void shouldFailIfTheAddressIsInvalid(String origin) {
        final HttpClient client = new HttpClient(1);
        client.start();
        try {
            final ExecutionException sendError = assertThrows(
                    ExecutionException.class,
                    () -> client.send(HttpRequest.get(URI.create(origin), "/", Duration.ofHours(1)))
                            .get(30, TimeUnit.SECONDS));
            assertThat(sendError).hasCauseThat().isInstanceOf(HttpRequestException.class);
            final ExecutionException probeError = assertThrows(
                    ExecutionException.class,
                    () -> client.checkReachable(URI.create(origin)).get(30, TimeUnit.SECONDS));
            assertThat(probeError).hasCauseThat().isInstanceOf(HttpRequestException.class);
        } finally {
            client.stop();
        }
    }

    private static void resetAll(ServerSocket server) {
        try {
            while (true) {
                try (Socket socket = server.accept()) {
                    socket.setSoLinger(true, 0);
                }
            }
        } catch (IOException e) {
            // The test has closed the listening socket.
            assertThat(server.isClosed()).isTrue();
        }
    }
}
