package org.masticpaddle.entry;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import org.junit.jupiter.api.Test;
import org.masticpaddle.wire.Exchanges;
import org.masticpaddle.wire.HttpServer;

import static com.google.common.truth.Truth.assertThat;

/** Guards against callers that hold connections of an entry by bodies that never end. */
class BodyReaderTest {
    @Test
    void shouldGiveUpABodyThatDoesNotArrive() throws IOException {
        final BodyReader reader = new BodyReader(50);
        final HttpServer server = new HttpServer(
                "127.0.0.1",
                0,
                1,
                1_000,
                exchange -> reader.read(exchange, body -> Exchanges.answer(exchange, 200, body.length)));
        server.start();
        final URI origin = URI.create("http://127.0.0.1:" + server.port());
        try (RawCaller slow = new RawCaller(origin);
                RawCaller next = new RawCaller(origin)) {
            final byte[] whole = RawCaller.request("POST /", "", "body".getBytes(StandardCharsets.UTF_8));
            final RawCaller.Reply reply =
                    slow.send(Arrays.copyOf(whole, whole.length - 1)).reply();
            assertThat(reply.status()).isEqualTo(408);
            assertThat(reply.error().path("run").asText()).isEqualTo("not_run");
            assertThat(next.send(whole).reply().body()).isEqualTo("4");
        } finally {
            server.stop();
        }
    }
}
