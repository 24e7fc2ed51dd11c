package org.masticpaddle.wire;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.ref.WeakReference;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.masticpaddle.standin.Conditions;

/** Guards against requests whose callers have left, and which a timer keeps with their bodies until it is due. */
@Timeout(60)
class EndedRequestMemoryTest {
    @RegisterExtension
    final ClientFixture fixture = new ClientFixture();

    @Test
    void shouldKeepNothingOfACancelledRequest() throws IOException {
        final WeakReference<byte[]> body = sendAndCancel();
        Conditions.await(() -> {
            System.gc();
            return body.get() == null;
        });
    }

    /** Guards against bodies that the memory of requests has released and idle connections still hold. */
    @Test
    void shouldKeepNothingOfAnAnsweredRequestWhileItsConnectionIsIdle() throws Exception {
        final CompletableFuture<Socket> accepted = CompletableFuture.supplyAsync(this::accept);
        final WeakReference<byte[]> body = sendAndAwaitAnswer(accepted);
        Conditions.await(() -> {
            System.gc();
            return body.get() == null;
        });
        // The connection is still open.
        accepted.get().getOutputStream().write(0);
        accepted.get().close();
    }

    private Socket accept() {
        try {
            return fixture.server().accept();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private WeakReference<byte[]> sendAndAwaitAnswer(CompletableFuture<Socket> accepted) throws Exception {
        final byte[] body = new byte[100_000];
        final StreamHandle handle = stream(body);
        final Socket connection = accepted.get();
        connection.getInputStream().readNBytes(body.length);
        connection
                .getOutputStream()
                .write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        handle.finished().get();
        return new WeakReference<>(body);
    }

    /** Cancels a request after it was written, and keeps no reference to it. */
    private WeakReference<byte[]> sendAndCancel() throws IOException {
        final byte[] body = new byte[100_000];
        final StreamHandle handle = stream(body);
        try (var connection = fixture.server().accept()) {
            connection.getInputStream().readNBytes(body.length);
            handle.cancel();
        }
        return new WeakReference<>(body);
    }

    private StreamHandle stream(byte[] body) {
        return fixture.client().stream(
                new HttpRequest(
                        URI.create("http://127.0.0.1:" + fixture.server().getLocalPort()),
                        "POST",
                        "/",
                        Map.of(),
                        body,
                        Duration.ofHours(1),
                        false),
                new StreamListener() {
                    @Override
                    public void onHead(int status, Map<String, String> headers) {}

                    @Override
                    public void onBytes(byte[] bytes) {}
                });
    }
}
