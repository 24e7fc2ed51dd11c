package org.masticpaddle.gateway;

import java.util.Map;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against passing on headers that hold for one connection only. */
class HopByHopHeadersTest {
    @Test
    void shouldLeaveOutConnectionHeadersAndThoseTheyName() {
        assertThat(HopByHopHeaders.strip(Map.of(
                        "connection", "close, X-Mine",
                        "x-mine", "1",
                        "transfer-encoding", "chunked",
                        "content-length", "5",
                        "accept", "text/plain")))
                .containsExactly("accept", "text/plain");
    }
}
