package org.masticpaddle.gateway;

import java.io.ByteArrayOutputStream;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * Relays the events of a stream to the caller, from several attempts if the stream is resumed.
 *
 * <p>Invariants: the caller gets complete events, in order, without gaps and once each; the stream is ended as complete only
 * after the response to an attempt is complete and no partial event is left. Used on the event loop only.
 */
final class StreamRelay {
    /** Largest event of a stream. */
    private static final int MAX_EVENT_BYTES = 1024 * 1024;

    private final CallerExchange caller;
    private final Map<String, String> headers;
    private final int status;
    private OptionalLong lastEventId;
    private EventSplitter splitter;
    private boolean started;
    private boolean outOfSequence;
    private int relayedEvents;
    private ByteArrayOutputStream pendingEvents = new ByteArrayOutputStream();

    /**
     * Creates a relay that has sent nothing yet.
     *
     * @param caller receiver of the stream
     * @param status HTTP status of the first response
     * @param headers headers of the first response; the caller gets them even if later events come from another attempt
     * @param lastEventId identifier of the last event that the caller received earlier, empty unless it resumes a stream
     */
    StreamRelay(CallerExchange caller, int status, Map<String, String> headers, OptionalLong lastEventId) {
        this.caller = Objects.requireNonNull(caller, "caller is null");
        this.status = status;
        this.headers = Map.copyOf(headers);
        this.lastEventId = lastEventId;
        this.splitter = new EventSplitter(this::relayEvent);
    }

    /** Drops the bytes after the last complete event; another attempt resumes after that event. */
    void discardPartialEvent() {
        splitter = new EventSplitter(this::relayEvent);
    }

    /** Relays the events that the bytes complete as one chunk. */
    void accept(byte[] bytes) {
        splitter.accept(bytes);
        if (pendingEvents.size() > 0) {
            final byte[] events = pendingEvents.toByteArray();
            pendingEvents = EventSplitter.emptied(pendingEvents);
            caller.writeChunk(events);
        }
    }

    private void relayEvent(EventSplitter.Event event) {
        if (outOfSequence) {
            return;
        }
        if (event.id().isPresent()) {
            if (lastEventId.isPresent() && event.id().getAsLong() != lastEventId.getAsLong() + 1) {
                outOfSequence = true;
                return;
            }
            lastEventId = event.id();
        }
        if (!started) {
            started = true;
            caller.startStream(status, headers);
        }
        pendingEvents.writeBytes(event.bytes());
        relayedEvents++;
    }

    /** Returns whether an event was received whose number does not follow that of the last one. */
    boolean outOfSequence() {
        return outOfSequence;
    }

    /** Returns the number of bytes after the last complete event. */
    int partialEventBytes() {
        return splitter.remainderBytes();
    }

    /** Returns whether the upstream has sent more bytes without the end of an event than an event may have. */
    boolean eventTooLarge() {
        return partialEventBytes() > MAX_EVENT_BYTES;
    }

    /** Returns whether the response to the caller was started. */
    boolean started() {
        return started;
    }

    int relayedEvents() {
        return relayedEvents;
    }

    OptionalLong lastEventId() {
        return lastEventId;
    }

    /**
     * Ends the response to the caller as complete, unless an event is missing or partial.
     *
     * @return {@code false} if the attempt ended inside an event or before the first one, or an event was out of sequence
     */
    boolean completeIfWhole() {
        if (outOfSequence || !started || partialEventBytes() > 0) {
            return false;
        }
        caller.endStream();
        return true;
    }
}
