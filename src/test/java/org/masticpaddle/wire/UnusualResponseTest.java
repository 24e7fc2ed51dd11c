package org.masticpaddle.wire;

import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/** Guards against valid responses in unusual forms that a client does not receive whole. */
@Timeout(60)
class UnusualResponseTest {
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String CHUNKED = OK + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String BODY = "\r\nContent-Length: 4\r\n\r\nbody";

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
                "HTTP/1.1 200 " + BODY,
                "HTTP/1.1 200 a b\tc" + BODY,
                "HTTP/1.1 200 \u00e9\u00ff" + BODY,
                "HTTP/1.0 200 OK" + BODY,
                OK + "CONTENT-LENGTH: 4\r\n\r\nbody",
                OK + "content-length:4\r\n\r\nbody",
                OK + "Content-Length: \t 4 \t\r\n\r\nbody",
                OK + "Content-Length: 0000000000000000000004\r\n\r\nbody",
                OK + "Content-Length: 4\r\nCONTENT-LENGTH: 04\r\n\r\nbody",
                OK + "X:" + BODY,
                OK + "X: " + BODY,
                OK + "X: a:b, \"c\"; d" + BODY,
                OK + "X: \u00e9\u0080\u00ff" + BODY,
                OK + "!#$%&'*+.^_`|~09azAZ-: a" + BODY,
                OK + "X: a\r\nX: b" + BODY,
                OK + "\r\nbody",
                OK + "Connection: close\r\n\r\nbody",
                "HTTP/1.0 200 OK\r\n\r\nbody",
                OK + "transfer-encoding: Chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
                CHUNKED + "4;a;b=c;d=\"e f\"\r\nbody\r\n0;g\r\n\r\n",
                CHUNKED + "4 ; a = b\r\nbody\r\n0\r\n\r\n",
                CHUNKED + "4;\u00e9\r\nbody\r\n0\r\n\r\n",
                CHUNKED + "1\r\nb\r\n0003\r\nody\r\n00000000000000000000\r\n\r\n",
                CHUNKED + "00000000000000000000004\r\nbody\r\n0\r\n\r\n",
                CHUNKED + "4\r\nbody\r\n0\r\nX: a\r\nContent-Length: 9\r\n\r\n",
                OK + "Content-Length: 4\r\n\r\nbody" + "additional bytes",
                CHUNKED + "4\r\nbody\r\n0\r\n\r\n" + "additional bytes"
            })
    void shouldReceiveWholeBody(String answer) throws Exception {
        for (final AnsweringPeer.Writing writing : AnsweringPeer.Writing.values()) {
            final HttpResponse response = peer.exchange("GET", answer, writing);
            assertThat(response.status()).isEqualTo(200);
            assertThat(new String(response.body(), StandardCharsets.UTF_8)).isEqualTo("body");
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 100 Continue\r\n\r\n",
                "HTTP/1.1 102 Processing\r\n\r\n",
                "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
                "HTTP/1.1 199 \r\nX: a\r\n\r\n",
                "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
            })
    void shouldReceiveResponseAfterInterimOnes(String interim) throws Exception {
        for (final AnsweringPeer.Writing writing : AnsweringPeer.Writing.values()) {
            final HttpResponse response = peer.exchange("GET", interim + OK + "Content-Length: 4\r\n\r\nbody", writing);
            assertThat(response.status()).isEqualTo(200);
            assertThat(response.header("Link").isPresent()).isFalse();
            assertThat(new String(response.body(), StandardCharsets.UTF_8)).isEqualTo("body");
        }
    }

    @ParameterizedTest
    @CsvSource({
        "GET, 204, ''", "GET, 204, 'Content-Length: 0'", "GET, 304, ''",
        "GET, 200, 'Content-Length: 0'", "HEAD, 200, 'Content-Length: 4'", "HEAD, 200, 'Transfer-Encoding: chunked'",
        "HEAD, 200, ''", "HEAD, 304, 'Content-Length: 4'"
    })
    void shouldReceiveResponseWithoutBody(String method, int status, String field) throws Exception {
        for (final AnsweringPeer.Writing writing : AnsweringPeer.Writing.values()) {
            final HttpResponse response = peer.exchange(
                    method,
                    "HTTP/1.1 " + status + " A\r\n" + (field.isEmpty() ? "" : field + "\r\n") + "\r\n",
                    writing);
            assertThat(response.status()).isEqualTo(status);
            assertThat(response.body()).isEmpty();
        }
    }
}
