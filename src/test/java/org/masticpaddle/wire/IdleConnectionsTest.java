package org.masticpaddle.wire;

import java.net.URI;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.masticpaddle.standin.Conditions;

import static com.google.common.truth.Truth.assertThat;

/** Guards against peers that are gone for good and of which something is kept. */
@Timeout(60)
class IdleConnectionsTest {
    private final EventLoop loop = new EventLoop("test");
    private final HttpClient client =
            new HttpClient(loop, new ConnectionTimeouts(Duration.ofSeconds(2), Duration.ofMillis(1)));

    @AfterEach
    void stop() {
        client.stop();
        loop.stop();
    }

    @Test
    void shouldForgetAPeerWithoutConnections() throws Exception {
        client.start();
        for (int count = 0; count < 5; count++) {
            final HttpServer peer = new HttpServer(
                    "127.0.0.1", 0, 1, 0, exchange -> Exchanges.respond(exchange, 200, Map.of("state", "ready")));
            peer.start();
            final URI origin = URI.create("http://127.0.0.1:" + peer.port());
            assertThat(client.send(HttpRequest.get(origin, "/", Duration.ofSeconds(10)))
                            .get(20, TimeUnit.SECONDS)
                            .status())
                    .isEqualTo(200);
            peer.stop();
        }
        Conditions.await(() -> {
            client.closeExpired();
            return client.idleOrigins() == 0;
        });
    }
}
