package org.masticpaddle.wire;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static com.google.common.truth.Truth.assertThat;

/** Guards against peers that count as unreachable because the event loop itself was late, or the process was suspended. */
@Timeout(60)
class LateEventLoopTest {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(100);

    @Test
    void shouldReachAPeerThatAcceptedTheConnectionWhileTheLoopWasLate() throws Exception {
        final EventLoop loop = new EventLoop("late");
        final HttpClient client = new HttpClient(loop, new ConnectionTimeouts(CONNECT_TIMEOUT, CONNECT_TIMEOUT));
        client.start();
        try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
            final URI origin = URI.create("http://127.0.0.1:" + server.getLocalPort());
            for (int count = 0; count < 5; count++) {
                final CompletableFuture<Void> reached = new CompletableFuture<>();
                loop.defer(() -> {
                    client.checkReachable(origin).whenComplete((ignored, error) -> {
                        if (error == null) {
                            reached.complete(null);
                        } else {
                            reached.completeExceptionally(error);
                        }
                    });
                    block(Duration.ofMillis(500));
                });
                assertThat(reached.get(30, TimeUnit.SECONDS)).isNull();
            }
        } finally {
            client.stop();
            loop.stop();
        }
    }

    @Test
    void shouldStillTimeOutIfThePeerDoesNotAccept() throws IOException {
        final HttpClient client = new HttpClient(1);
        client.start();
        // An address of a network for documentation, which no peer has.
        final CompletableFuture<Void> reached = client.checkReachable(URI.create("http://192.0.2.1:9"));
        assertThat(reached.handle((ignored, error) -> error).join()).isInstanceOf(HttpRequestException.class);
        client.stop();
    }

    private static void block(Duration duration) {
        final long end = System.nanoTime() + duration.toNanos();
        while (System.nanoTime() < end) {
            LockSupport.parkNanos(end - System.nanoTime());
        }
    }
}
