package org.masticpaddle.wire;

import java.io.IOException;
import java.lang.ref.WeakReference;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.time.Duration;
import java.util.Map;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.masticpaddle.standin.Conditions;

/** Guards against requests whose callers have left, and which a timer keeps with their bodies until it is due. */
@Timeout(60)
class EndedRequestMemoryTest {
    private final EventLoop loop = new EventLoop("test");
    private final HttpClient client = new HttpClient(loop, ConnectionTimeouts.DEFAULT);
    private ServerSocket server;

    @BeforeEach
    void start() throws IOException {
        client.start();
        server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void stop() throws IOException {
        server.close();
        client.stop();
        loop.stop();
    }

    @Test
    void shouldKeepNothingOfACancelledRequest() throws IOException {
        final WeakReference<byte[]> body = sendAndCancel();
        Conditions.await(() -> {
            System.gc();
            return body.get() == null;
        });
    }

    /** Cancels a request after it was written, and keeps no reference to it. */
    private WeakReference<byte[]> sendAndCancel() throws IOException {
        final byte[] body = new byte[100_000];
        final StreamHandle handle = client.stream(
                new HttpRequest(
                        URI.create("http://127.0.0.1:" + server.getLocalPort()),
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
        try (var connection = server.accept()) {
            connection.getInputStream().readNBytes(body.length);
            handle.cancel();
        }
        return new WeakReference<>(body);
    }
}
