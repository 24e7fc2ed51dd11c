package org.masticpaddle.wire;

import java.net.URI;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Guards against requests that are written although nobody waits for the response any more. */
class UnwantedRequestTest {
    @Test
    void shouldNotWriteARequestThatIsNoLongerWanted() {
        final AtomicInteger received = new AtomicInteger();
        final HttpServer server = new HttpServer("127.0.0.1", 0, 1, 1_000, exchange -> {
            received.incrementAndGet();
            Exchanges.respond(exchange, 200, "done");
        });
        final HttpClient client = new HttpClient(1);
        server.start();
        client.start();
        try {
            final HttpRequest request =
                    HttpRequest.get(URI.create("http://127.0.0.1:" + server.port()), "/x", Duration.ofSeconds(30));
            // On a connection that is opened for the request, then on one that is kept.
            for (int count = 0; count < 2; count++) {
                final CompletionException error = assertThrows(
                        CompletionException.class,
                        () -> client.stream(request, new UnwantedListener())
                                .finished()
                                .join());
                assertThat(((HttpRequestException) error.getCause()).delivery())
                        .isEqualTo(HttpRequestException.Delivery.NOT_SENT);
                assertThat(received.get()).isEqualTo(count);
                client.send(request).join();
            }
        } finally {
            client.stop();
            server.stop();
        }
    }

    private static final class UnwantedListener implements StreamListener {
        @Override
        public boolean mayBeSent() {
            return false;
        }

        @Override
        public void onHead(int status, Map<String, String> headers) {}

        @Override
        public void onBytes(byte[] bytes) {}
    }
}
