package org.masticpaddle.gateway;

import java.io.IOException;
import java.lang.ref.WeakReference;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.masticpaddle.fleet.Upstream;
import org.masticpaddle.fleet.UpstreamRegistry;
import org.masticpaddle.fleet.UpstreamState;
import org.masticpaddle.standin.Conditions;
import org.masticpaddle.wire.ConnectionTimeouts;
import org.masticpaddle.wire.EventLoop;
import org.masticpaddle.wire.HttpClient;
import org.masticpaddle.wire.HttpRequest;

import static com.google.common.truth.Truth.assertThat;

/** Guards against attempts that keep bodies whose memory was given back. */
@Timeout(60)
class AttemptMemoryTest {
    private final EventLoop loop = new EventLoop("test");
    private final HttpClient client = new HttpClient(loop, ConnectionTimeouts.DEFAULT);
    private ServerSocket server;
    private Attempt attempt;

    @BeforeEach
    void start() throws IOException {
        client.start();
        server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        final URI origin = URI.create("http://127.0.0.1:" + server.getLocalPort());
        final UpstreamRegistry registry = new UpstreamRegistry(0);
        registry.applyEntry(new Upstream("a", "s", origin, "d", "v1", 8, false, 1, 0), 0);
        final UpstreamState upstream = registry.find("a").orElseThrow();
        attempt = new Attempt(
                upstream,
                upstream.assign("", List.of(), 0, 0, 0, 0),
                0,
                0,
                true,
                0,
                new EstimateRecorderTest.IgnoringListener());
    }

    @AfterEach
    void stop() throws IOException {
        server.close();
        client.stop();
        loop.stop();
    }

    @Test
    void shouldKeepNothingOfTheBodyAfterTheAnswer() throws IOException {
        final WeakReference<byte[]> body = sendAndAnswer();
        Conditions.await(() -> {
            System.gc();
            return body.get() == null;
        });
        assertThat(attempt.ended()).isTrue();
    }

    private WeakReference<byte[]> sendAndAnswer() throws IOException {
        final byte[] body = new byte[100_000];
        final HttpRequest request = new HttpRequest(
                attempt.upstream().upstream().origin(), "POST", "/", Map.of(), body, Duration.ofHours(1), false);
        loop.execute(() -> attempt.send(client, request));
        try (Socket connection = server.accept()) {
            connection.getInputStream().readNBytes(body.length);
            connection
                    .getOutputStream()
                    .write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            Conditions.await(attempt::ended);
        }
        return new WeakReference<>(body);
    }
}
