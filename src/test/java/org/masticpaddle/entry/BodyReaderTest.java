package org.masticpaddle.entry;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.masticpaddle.wire.Exchanges;
import org.masticpaddle.wire.HttpServer;

import static com.google.common.truth.Truth.assertThat;

/** Guards against bodies that never end, and against a time limit that disturbs the next request of a connection. */
class BodyReaderTest {
    private final BodyReader reader = new BodyReader(50);
    private final HttpServer server = new HttpServer(
            "127.0.0.1",
            0,
            1,
            1_000,
            exchange -> reader.read(exchange, body -> Exchanges.respond(exchange, 200, body.length)));

    @BeforeEach
    void start() {
        server.start();
    }

    @AfterEach
    void stop() {
        server.stop();
    }

    @Test
    void shouldAnswerPipelinedRequestsInOrder() throws IOException {
        try (RawCaller caller = new RawCaller(URI.create("http://127.0.0.1:" + server.port()))) {
            final String first = new String(RawCaller.request("POST /", "", bytes("one")), StandardCharsets.UTF_8);
            caller.send(bytes(first.replace("Connection: close", "Connection: keep-alive")
                    + new String(RawCaller.request("POST /", "", bytes("other")), StandardCharsets.UTF_8)));
            final RawCaller.Reply replies = caller.reply();
            assertThat(replies.body()).startsWith("3HTTP/1.1 200 OK");
            assertThat(replies.body()).endsWith("\r\n\r\n5");
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void shouldGiveUpABodyThatDoesNotArrive() throws IOException {
        final URI origin = URI.create("http://127.0.0.1:" + server.port());
        try (RawCaller slow = new RawCaller(origin);
                RawCaller next = new RawCaller(origin)) {
            final byte[] whole = RawCaller.request("POST /", "", bytes("body"));
            final RawCaller.Reply reply =
                    slow.send(Arrays.copyOf(whole, whole.length - 1)).reply();
            assertThat(reply.status()).isEqualTo(408);
            assertThat(reply.error().path("run").asText()).isEqualTo("not_run");
            assertThat(next.send(whole).reply().body()).isEqualTo("4");
        }
    }
}
