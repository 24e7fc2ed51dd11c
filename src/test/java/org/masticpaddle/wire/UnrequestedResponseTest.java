package org.masticpaddle.wire;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/** Guards against a second response to a request that passes as the response to the next request on the connection. */
@Timeout(60)
class UnrequestedResponseTest {
    private static final String FIRST = response("first");

    @RegisterExtension
    final ClientFixture fixture = new ClientFixture();

    private final AtomicInteger requests = new AtomicInteger();
    private final CompletableFuture<Void> firstRead = new CompletableFuture<>();
    private final CompletableFuture<Void> bytesWritten = new CompletableFuture<>();

    @ParameterizedTest
    @ValueSource(
            strings = {"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond", "HTTP/1.1 200 OK\r\nConte", "H", "\r\n"})
    void shouldNotSendOnAConnectionWithUnreadBytes(String unrequested) throws Exception {
        startThread(() -> {
            while (true) {
                final Socket socket = fixture.server().accept();
                startThread(() -> serve(socket, unrequested));
            }
        });
        assertThat(body(fixture.client().send(request()).get(30, TimeUnit.SECONDS)))
                .isEqualTo("first");
        // The loop is busy, so that it has no turn to find the bytes between their arrival and the next request.
        final CompletableFuture<CompletableFuture<HttpResponse>> next = new CompletableFuture<>();
        fixture.loop().defer(() -> {
            firstRead.complete(null);
            bytesWritten.join();
            next.complete(fixture.client().send(request()));
        });
        assertThat(body(next.get(30, TimeUnit.SECONDS).get(30, TimeUnit.SECONDS)))
                .isEqualTo("next");
    }

    private void serve(Socket socket, String unrequested) throws IOException {
        readHead(socket.getInputStream());
        if (requests.incrementAndGet() == 1) {
            write(socket, FIRST);
            firstRead.join();
            write(socket, unrequested);
            bytesWritten.complete(null);
            readHead(socket.getInputStream());
        }
        write(socket, response("next"));
    }

    private static void readHead(InputStream input) throws IOException {
        final StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            final int next = input.read();
            if (next < 0) {
                throw new IOException("the connection has ended");
            }
            head.append((char) next);
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private HttpRequest request() {
        return HttpRequest.get(
                URI.create("http://127.0.0.1:" + fixture.server().getLocalPort()), "/", Duration.ofSeconds(30));
    }

    private static String body(HttpResponse response) {
        return new String(response.body(), StandardCharsets.US_ASCII);
    }

    private static String response(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private void startThread(Task task) {
        final Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The client has closed the connection, or the test has closed the listening socket.
                bytesWritten.complete(null);
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private interface Task {
        void run() throws IOException;
    }
}
