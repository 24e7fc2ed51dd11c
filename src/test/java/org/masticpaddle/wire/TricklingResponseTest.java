package org.masticpaddle.wire;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Guards against a request that stays open without end, since a byte of its response arrives now and then. */
@Timeout(60)
class TricklingResponseTest {
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);
    private static final ResponseLimit LIMIT = new ResponseLimit(Duration.ofMillis(300), 1_000_000);
    private static final int TRICKLE_MILLIS = 20;

    @RegisterExtension
    final ClientFixture fixture = new ClientFixture();

    private final CountDownLatch closedByClient = new CountDownLatch(1);

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 ",
                "HTTP/1.1 200 OK\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\n",
                "HTTP/1.1 200 OK\r\n\r\n"
            })
    void shouldFailAndCloseTheConnection(String beginning) throws Exception {
        trickle(beginning);
        final CompletableFuture<HttpResponse> response =
                fixture.client().send(request().withResponseLimit(LIMIT));
        final ExecutionException error =
                assertThrows(ExecutionException.class, () -> response.get(20, TimeUnit.SECONDS));
        assertThat(error).hasCauseThat().isInstanceOf(HttpRequestException.class);
        assertThat(closedByClient.await(20, TimeUnit.SECONDS)).isTrue();
    }

    @Test
    void shouldAllowMoreTimeForMoreBytes() {
        final ResponseLimit limit = new ResponseLimit(Duration.ofMillis(700), 125_000);
        assertThat(limit.timeFor(0)).isEqualTo(Duration.ofMillis(700));
        assertThat(limit.timeFor(7)).isLessThan(Duration.ofMillis(701));
        assertThat(limit.timeFor(1_000_000)).isEqualTo(Duration.ofMillis(8_700));
        assertThat(limit.timeFor(16L << 20)).isGreaterThan(Duration.ofSeconds(134));
    }

    @Test
    void shouldLimitARequestOnAFreshConnectionLikewise() {
        assertThat(request().withResponseLimit(LIMIT).onFreshConnection().responseLimit())
                .isEqualTo(Optional.of(LIMIT));
    }

    private HttpRequest request() {
        return HttpRequest.get(URI.create("http://127.0.0.1:" + fixture.server().getLocalPort()), "/", IDLE_TIMEOUT);
    }

    private void trickle(String beginning) {
        final Thread sender = new Thread(() -> {
            try (Socket socket = fixture.server().accept()) {
                socket.setTcpNoDelay(true);
                socket.getOutputStream().write(beginning.getBytes(StandardCharsets.US_ASCII));
                while (!fixture.server().isClosed()) {
                    socket.getOutputStream().write('H');
                    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(TRICKLE_MILLIS));
                }
            } catch (IOException e) {
                closedByClient.countDown();
            }
        });
        sender.setDaemon(true);
        sender.start();
    }
}
