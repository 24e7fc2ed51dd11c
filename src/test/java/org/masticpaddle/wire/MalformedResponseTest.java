package org.masticpaddle.wire;

import java.util.concurrent.ExecutionException;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Guards against malformed responses that a client takes for whole ones. */
@Timeout(60)
class MalformedResponseTest {
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String CHUNKED = OK + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String BODY = "\r\nContent-Length: 4\r\n\r\nbody";
    private static final String CHUNKS = "4\r\nbody\r\n0\r\n\r\n";

    @RegisterExtension
    final ClientFixture fixture = new ClientFixture();

    private AnsweringPeer peer;

    @BeforeEach
    void createPeer() {
        peer = new AnsweringPeer(fixture.client(), fixture.server());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 OK" + BODY,
                "HTTP/1.1 001 OK" + BODY,
                "HTTP/1.1 099 OK" + BODY,
                "HTTP/1.1 101 Switching Protocols" + BODY,
                "HTTP/1.1 600 OK" + BODY,
                "HTTP/1.1 999 OK" + BODY,
                "HTTP/1.1 20 OK" + BODY,
                "HTTP/1.1 2000 OK" + BODY,
                "HTTP/1.1 0200 OK" + BODY,
                "HTTP/1.1 -20 OK" + BODY,
                "HTTP/1.1 +20 OK" + BODY,
                "HTTP/1.1 2x0 OK" + BODY,
                "HTTP/1.1 200OK" + BODY,
                "HTTP/1.1  200 OK" + BODY,
                "HTTP/1.1 OK" + BODY,
                "HTTP/1.1 " + BODY,
                "HTTP/1.1" + BODY,
                "HTTP/1.1 200 O\u0001K" + BODY,
                "HTTP/1.1 200 200 OK\nHTTP/1.1 200 OK" + BODY,
                "HTTP/0.9 200 OK" + BODY,
                "HTTP/1.9 200 OK" + BODY,
                "HTTP/2.0 200 OK" + BODY,
                "HTTP/1.10 200 OK" + BODY,
                "http/1.1 200 OK" + BODY,
                "\r\nHTTP/1.1 200 OK" + BODY,
                "200 OK" + BODY,
                "body"
            })
    void shouldFailAfterMalformedStatusLine(String answer) {
        assertFails("GET", answer);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                OK + "X: a\r\n folded" + BODY,
                OK + "X: a\r\n\tfolded" + BODY,
                OK + "X: a\r\n Transfer-Encoding: chunked\r\n\r\n" + CHUNKS,
                OK + "Content-Length:\r\n 4\r\n\r\nbody",
                OK + " X: a" + BODY,
                OK + "no field" + BODY,
                OK + "field" + BODY,
                OK + "Content-Length\r\n\r\nbody",
                OK + "Content-Length: 4\r\nfield\r\n\r\nbody",
                OK + ": a" + BODY,
                OK + "X: a\rContent-Length: 2" + BODY,
                OK + "X: a\nContent-Length: 2" + BODY,
                OK + "X: a\u0000b" + BODY,
                OK + "X: a\u007fb" + BODY,
                OK + "Content-Length: 4\r\r\n\r\nbody",
                OK + "Content-Length: 4\r\n\nbody"
            })
    void shouldFailAfterLineThatIsNoField(String answer) {
        assertFails("GET", answer);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                OK + "Content Length: 4\r\n\r\nbody",
                OK + "Content-Length : 4\r\n\r\nbody",
                OK + "Content-Length\t: 4\r\n\r\nbody",
                OK + "Content-\u0000Length: 4\r\n\r\nbody",
                OK + "Content-Length\u0001: 4\r\n\r\nbody",
                OK + "Transfer-Encoding : chunked\r\n\r\n" + CHUNKS,
                OK + "X Y: a" + BODY,
                OK + "X\tY: a" + BODY,
                OK + "X\u0000Y: a" + BODY,
                OK + "X\u001fY: a" + BODY,
                OK + "X\u007fY: a" + BODY,
                OK + "X\u00e9Y: a" + BODY,
                OK + "X(Y: a" + BODY,
                OK + "X/Y: a" + BODY,
                OK + "X@Y: a" + BODY,
                OK + "X\"Y: a" + BODY
            })
    void shouldFailAfterFieldNameThatIsNoToken(String answer) {
        assertFails("GET", answer);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                OK + "Content-Length: +4\r\n\r\nbody",
                OK + "Content-Length: -4\r\n\r\nbody",
                OK + "Content-Length: -0\r\n\r\n",
                OK + "Content-Length: 4x\r\n\r\nbody",
                OK + "Content-Length: 0x4\r\n\r\nbody",
                OK + "Content-Length: 4.0\r\n\r\nbody",
                OK + "Content-Length: 4 4\r\n\r\nbody",
                OK + "Content-Length: 4, 4\r\n\r\nbody",
                OK + "Content-Length: \r\n\r\nbody",
                OK + "Content-Length: 18446744073709551620\r\n\r\nbody",
                OK + "Content-Length: 4\r\nContent-Length: 2\r\n\r\nbody",
                OK + "Content-Length: 2\r\ncontent-length: 4\r\n\r\nbody",
                OK + "Content-Length: 2\r\nContent-Length: x\r\n\r\nbody",
                OK + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n" + CHUNKS,
                OK + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n" + CHUNKS,
                OK + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n" + CHUNKS,
                OK + "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n" + CHUNKS,
                OK + "Transfer-Encoding: chunked, chunked\r\n\r\n" + CHUNKS,
                OK + "Transfer-Encoding: gzip, chunked\r\n\r\n" + CHUNKS,
                OK + "Transfer-Encoding: xchunked\r\n\r\n" + CHUNKS,
                OK + "Transfer-Encoding: chunke\r\n\r\n" + CHUNKS,
                OK + "Transfer-Encoding: \"chunked\"\r\n\r\n" + CHUNKS,
                OK + "Transfer-Encoding: \r\n\r\n" + CHUNKS,
                OK + "Transfer-Encoding: gzip\r\n\r\nbody",
                OK + "Transfer-Encoding: identity\r\nContent-Length: 4\r\n\r\nbody",
                "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + CHUNKS,
                "HTTP/1.1 204 No Content\r\nContent-Length: 4\r\n\r\nbody",
                "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n" + CHUNKS,
                "HTTP/1.0 204 No Content\r\n\r\nbody"
            })
    void shouldFailAfterMalformedLength(String answer) {
        assertFails("GET", answer);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                CHUNKED + "\r\n\r\n",
                CHUNKED + "4\r\nbody\r\n\r\n\r\n",
                CHUNKED + "4g\r\nbody\r\n0\r\n\r\n",
                CHUNKED + "g\r\nbody\r\n0\r\n\r\n",
                CHUNKED + "-4\r\nbody\r\n0\r\n\r\n",
                CHUNKED + "+4\r\nbody\r\n0\r\n\r\n",
                CHUNKED + "0x4\r\nbody\r\n0\r\n\r\n",
                CHUNKED + " 4\r\nbody\r\n0\r\n\r\n",
                CHUNKED + "4 x\r\nbody\r\n0\r\n\r\n",
                CHUNKED + "4 4\r\nbody\r\n0\r\n\r\n",
                CHUNKED + "4;\u0000\r\nbody\r\n0\r\n\r\n",
                CHUNKED + "10000000000000004\r\nbody\r\n0\r\n\r\n",
                CHUNKED + "8000000000000004\r\nbody\r\n0\r\n\r\n",
                CHUNKED + "100000004\r\nbody\r\n0\r\n\r\n",
                CHUNKED + "2\r\nbody\r\n0\r\n\r\n",
                CHUNKED + "3\r\nbody\r\n0\r\n\r\n",
                CHUNKED + "5\r\nbody\r\n0\r\n\r\n",
                CHUNKED + "4\r\nbodyxx0\r\n\r\n",
                CHUNKED + "4\r\nbody0\r\n\r\n",
                CHUNKED + "4\nbody\n0\n\n",
                CHUNKED + "4\r\nbody\r0\r\n\r\n",
                CHUNKED + "4\r\nbody\r\n",
                CHUNKED + "4\r\nbody\r\n0",
                CHUNKED + "4\r\nbody\r\n0\r\n",
                CHUNKED + "4\r\nbody\r\n0\r\nX: a\r\n",
                CHUNKED + "4\r\nbody\r\n0\r\nx\r\n\r\n",
                CHUNKED + "4\r\nbody\r\n0\r\nno field\r\n\r\n",
                CHUNKED + "4\r\nbody\r\n0\r\nX y: a\r\n\r\n",
                CHUNKED + "4\r\nbody\r\n0\r\nX: a\r\n folded\r\n\r\n"
            })
    void shouldFailAfterMalformedChunk(String answer) {
        assertFails("GET", answer);
    }

    private void assertFails(String method, String answer) {
        for (final AnsweringPeer.Writing writing : AnsweringPeer.Writing.values()) {
            final ExecutionException error =
                    assertThrows(ExecutionException.class, () -> peer.exchange(method, answer, writing));
            // A response that is not understood says nothing of whether the request ran.
            assertThat(((HttpRequestException) error.getCause()).delivery())
                    .isEqualTo(HttpRequestException.Delivery.POSSIBLY_SENT);
        }
    }
}
