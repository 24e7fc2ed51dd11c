package org.masticpaddle.gateway;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.OptionalLong;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against relayed streams in which an event is missing, duplicated, truncated or mixed with one of another attempt. */
class StreamRelayTest {
    private final RecordingCaller caller = new RecordingCaller();
    private final StreamRelay relay = new StreamRelay(caller, 200, Map.of(), OptionalLong.empty());

    @Test
    void shouldRelayCompleteEventsForAnySplitOfTheBytes() {
        final String events = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n";
        for (final byte singleByte : events.getBytes(StandardCharsets.UTF_8)) {
            relay.accept(new byte[] {singleByte});
        }
        assertThat(relay.completeIfWhole()).isTrue();
        assertThat(caller.text()).isEqualTo("begin 200;id: 1\ndata: a\n\n;id: 2\r\ndata: b\r\n\r\n;end;");
    }

    @Test
    void shouldNotCompleteInsideAnEvent() {
        relay.accept(bytes("id: 1\ndata: a\n\nid: 2\nda"));
        assertThat(relay.completeIfWhole()).isFalse();
        assertThat(caller.text()).doesNotContain("end");
    }

    @Test
    void shouldNotCompleteBeforeTheFirstEvent() {
        assertThat(relay.completeIfWhole()).isFalse();
        assertThat(caller.text()).isEmpty();
    }

    @Test
    void shouldDropPartialEventWhenResumingFromAnotherAttempt() {
        relay.accept(bytes("id: 1\ndata: a\n\nid: 2\nda"));
        relay.discardPartialEvent();
        relay.accept(bytes("id: 2\ndata: b\n\n"));
        assertThat(relay.completeIfWhole()).isTrue();
        assertThat(caller.text()).isEqualTo("begin 200;id: 1\ndata: a\n\n;id: 2\ndata: b\n\n;end;");
    }

    @Test
    void shouldStopAtGapInEventNumbers() {
        relay.accept(bytes("id: 1\ndata: a\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n"));
        assertThat(relay.outOfSequence()).isTrue();
        assertThat(relay.completeIfWhole()).isFalse();
        assertThat(caller.text()).isEqualTo("begin 200;id: 1\ndata: a\n\n;");
    }

    @Test
    void shouldNoticeEventWithoutEnd() {
        relay.accept(bytes("id: 1\ndata: a\n\nid: 2\ndata: "));
        for (int block = 0; block < 40 && !relay.eventTooLarge(); block++) {
            relay.accept(new byte[64 * 1024]);
        }
        assertThat(relay.eventTooLarge()).isTrue();
        relay.discardPartialEvent();
        assertThat(relay.eventTooLarge()).isFalse();
    }

    @Test
    void shouldCheckFirstEventOfStreamResumedByCaller() {
        final StreamRelay resumed = new StreamRelay(caller, 200, Map.of(), OptionalLong.of(5));
        resumed.accept(bytes("id: 7\ndata: g\n\n"));
        assertThat(resumed.outOfSequence()).isTrue();
        assertThat(caller.text()).isEmpty();
    }

    @Test
    void shouldRelayEventsOfOneReadAsOneChunk() {
        relay.accept(bytes("id: 1\ndata: a\n\nid:2\ndata: b\n\nid: 3\nda"));
        assertThat(caller.text()).isEqualTo("begin 200;id: 1\ndata: a\n\nid:2\ndata: b\n\n;");
        assertThat(relay.relayedEvents()).isEqualTo(2);
    }

    @Test
    void shouldParseEventNumberOnlyFromCompleteIdLine() {
        relay.accept(
                bytes("id: 4\ndata: id: 9\n\nevent: x\nid: 5 \r\ndata: b\n\nid: 6x\ndata: c\n\nid: 6\ndata: d\n\n"));
        assertThat(relay.outOfSequence()).isFalse();
        assertThat(relay.lastEventId()).isEqualTo(OptionalLong.of(6));
        assertThat(relay.relayedEvents()).isEqualTo(4);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
