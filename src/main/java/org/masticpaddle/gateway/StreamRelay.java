package org.masticpaddle.gateway;

import java.io.ByteArrayOutputStream;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * Relays the events of a stream to the caller, over several attempts if need be.
 *
 * <p>Invariants: events reach the caller whole, in order, without a gap and once each; the stream is ended as complete only
 * after an attempt ended as complete with no bytes left over. Used on the event loop only.
 */
final class StreamRelay {
    private final CallerExchange caller;
    private final Map<String, String> headers;
    private final int status;
    private OptionalLong lastEvent;
    private EventSplitter splitter;
    private boolean begun;
    private boolean disordered;
    private int relayed;
    private final ByteArrayOutputStream received = new ByteArrayOutputStream();

    /**
     * Creates a relay.
     *
     * @param caller the caller
     * @param status status of the first answer
     * @param headers headers of the first answer, which the caller gets whatever follows
     * @param lastEvent event that the caller has from an earlier try
     */
    StreamRelay(CallerExchange caller, int status, Map<String, String> headers, OptionalLong lastEvent) {
        this.caller = Objects.requireNonNull(caller, "caller is null");
        this.status = status;
        this.headers = Map.copyOf(headers);
        this.lastEvent = lastEvent;
        this.splitter = new EventSplitter(this::relay);
    }

    /** Starts to take the bytes of another attempt, which goes on after the last event. */
    void continueWith() {
        splitter = new EventSplitter(this::relay);
    }

    /** Relays the events that the bytes complete, together. */
    void accept(byte[] bytes) {
        splitter.accept(bytes);
        if (received.size() > 0) {
            final byte[] events = received.toByteArray();
            received.reset();
            caller.piece(events);
        }
    }

    private void relay(EventSplitter.Event event) {
        if (disordered) {
            return;
        }
        if (event.id().isPresent()) {
            if (lastEvent.isPresent() && event.id().getAsLong() != lastEvent.getAsLong() + 1) {
                disordered = true;
                return;
            }
            lastEvent = event.id();
        }
        if (!begun) {
            begun = true;
            caller.begin(status, headers);
        }
        received.writeBytes(event.bytes());
        relayed++;
    }

    /** Whether an event came that does not follow the last one. */
    boolean disordered() {
        return disordered;
    }

    /** Whether the caller has received something. */
    boolean begun() {
        return begun;
    }

    int relayed() {
        return relayed;
    }

    OptionalLong lastEvent() {
        return lastEvent;
    }

    /**
     * Ends the stream as complete if it is.
     *
     * @return {@code false} if the attempt ended inside an event or before the first one
     */
    boolean complete() {
        if (disordered || !begun || splitter.remainder().length > 0) {
            return false;
        }
        caller.end();
        return true;
    }
}
