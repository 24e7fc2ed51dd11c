package org.masticpaddle.gateway;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import org.junit.jupiter.api.Test;
import org.masticpaddle.standin.Conditions;

import static com.google.common.truth.Truth.assertThat;

/** Guards against streams that keep the space of their largest event until they end. */
class LargeEventTest {
    private static final int STREAMS = 128;
    private static final int EVENT_BYTES = 1_000_000;
    /** A quarter of what the streams would keep if each kept the space of its event once. */
    private static final long MAX_KEPT_BYTES = (long) STREAMS * EVENT_BYTES / 4;

    @Test
    void shouldKeepNoSpaceOfAnEventThatWasRelayed() {
        final byte[] event = ("id: 1\ndata: " + "x".repeat(EVENT_BYTES) + "\n\n").getBytes(StandardCharsets.US_ASCII);
        final byte[] next = "id: 2\ndata: x\n\n".getBytes(StandardCharsets.US_ASCII);
        final long usedBefore = usedBytes();
        final List<StreamRelay> relays = new ArrayList<>();
        for (int count = 0; count < STREAMS; count++) {
            final StreamRelay relay = new StreamRelay(new DiscardingCaller(), 200, Map.of(), OptionalLong.empty());
            relay.accept(event);
            relays.add(relay);
        }
        Conditions.await(() -> usedBytes() - usedBefore < MAX_KEPT_BYTES);
        for (final StreamRelay relay : relays) {
            relay.accept(next);
            assertThat(relay.relayedEvents()).isEqualTo(2);
        }
    }

    private static long usedBytes() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    /** Test double of a caller that keeps nothing. */
    private static final class DiscardingCaller implements CallerExchange {
        @Override
        public void respond(int status, Map<String, String> headers, byte[] body) {}

        @Override
        public void startStream(int status, Map<String, String> headers) {}

        @Override
        public void writeChunk(byte[] bytes) {}

        @Override
        public void endStream() {}

        @Override
        public void abort() {}

        @Override
        public boolean disconnected() {
            return false;
        }

        @Override
        public void onDisconnect(Runnable action) {}

        @Override
        public void setReadingListener(ReadingListener listener) {}
    }
}
