package org.masticpaddle.sidecar;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.Map;
import java.util.Optional;

import org.masticpaddle.wire.AnswerChecksum;
import org.masticpaddle.wire.Dispatch;
import org.masticpaddle.wire.Frame;
import org.masticpaddle.wire.Json;
import org.masticpaddle.wire.ResponseStream;
import org.masticpaddle.wire.StreamHandle;

/**
 * One attempt from its arrival until it is forgotten. Owned by the thread of {@link AttemptRunner}; not thread-safe.
 *
 * <p>Invariant: the listener gets every byte of the answer once, in order, from the offset that it asked for.
 */
final class Attempt {
    private static final int MAX_RETAINED_BYTES = 1 << 20;

    private final Dispatch dispatch;
    private final long arrivedNanos;
    private final AnswerChecksum hash = new AnswerChecksum();
    private final ByteArrayOutputStream retained = new ByteArrayOutputStream();
    private boolean retainable = true;
    private ResponseStream listener;
    private Phase phase = Phase.QUEUED;
    private StreamHandle upstreamCall;
    private EngineStream engineStream;
    private int callNumber;
    private long startedNanos;
    private long endedNanos;
    private long detachedNanos;
    private int status;
    private Map<String, String> headers = Map.of();
    private Frame last;

    Attempt(Dispatch dispatch, ResponseStream listener, long nowNanos) {
        this.dispatch = dispatch;
        this.listener = listener;
        this.arrivedNanos = nowNanos;
    }

    Dispatch dispatch() {
        return dispatch;
    }

    String id() {
        return dispatch.attemptId();
    }

    boolean chat() {
        return !dispatch.model().isEmpty();
    }

    Phase phase() {
        return phase;
    }

    long deadlineNanos() {
        return arrivedNanos + dispatch.timeoutMillis() * 1_000_000;
    }

    long startedNanos() {
        return startedNanos;
    }

    long endedNanos() {
        return endedNanos;
    }

    /** Time since when no entry has listened, empty while one does. */
    Optional<Long> detachedNanos() {
        return listener == null ? Optional.of(detachedNanos) : Optional.empty();
    }

    long length() {
        return hash.length();
    }

    long checksum() {
        return hash.value();
    }

    int status() {
        return status;
    }

    /** The whole answer so far, empty if it has grown too long to keep. */
    Optional<byte[]> retained() {
        return retainable ? Optional.of(retained.toByteArray()) : Optional.empty();
    }

    EngineStream engineStream() {
        return engineStream;
    }

    /** Begins a call to the upstream and returns its number; events of earlier calls are then stale. */
    int beginCall(EngineStream decoder, long nowNanos) {
        if (phase == Phase.QUEUED) {
            startedNanos = nowNanos;
        }
        phase = Phase.RUNNING;
        engineStream = decoder;
        return ++callNumber;
    }

    void calling(StreamHandle call) {
        upstreamCall = call;
    }

    boolean currentCall(int call) {
        return phase == Phase.RUNNING && call == callNumber;
    }

    int calls() {
        return callNumber;
    }

    void head(int upstreamStatus, Map<String, String> upstreamHeaders) {
        status = upstreamStatus;
        headers = upstreamHeaders;
        send(new Frame.Head(id(), status, headers));
    }

    void answered(byte[] bytes) {
        final long offset = hash.length();
        hash.add(bytes);
        if (retainable && retained.size() + bytes.length > MAX_RETAINED_BYTES) {
            retainable = false;
            retained.reset();
        }
        if (retainable) {
            retained.writeBytes(bytes);
        }
        send(new Frame.Data(id(), offset, bytes));
    }

    /** Ends the attempt with its last frame. */
    void end(Frame frame, long nowNanos) {
        phase = Phase.ENDED;
        endedNanos = nowNanos;
        last = frame;
        send(frame);
        closeListener();
    }

    void cancelUpstream() {
        if (upstreamCall != null) {
            upstreamCall.cancel();
        }
    }

    /**
     * Sends the answer from an offset on to a new listener.
     *
     * @return {@code false} if these bytes are no longer kept
     */
    boolean attach(ResponseStream newListener, long offset, Frame accepted) {
        if (!retainable && offset < hash.length() || offset > hash.length()) {
            return false;
        }
        if (listener != null) {
            listener.abort();
        }
        listener = newListener;
        send(accepted);
        if (status != 0) {
            send(new Frame.Head(id(), status, headers));
        }
        if (offset < hash.length()) {
            final byte[] all = retained.toByteArray();
            send(new Frame.Data(id(), offset, Arrays.copyOfRange(all, (int) offset, all.length)));
        }
        if (last != null) {
            send(last);
            closeListener();
        }
        return true;
    }

    void detach(ResponseStream gone, long nowNanos) {
        if (listener == gone) {
            listener = null;
            detachedNanos = nowNanos;
        }
    }

    void send(Frame frame) {
        if (listener != null) {
            listener.write(line(frame));
        }
    }

    static byte[] line(Frame frame) {
        final byte[] json = Json.encode(frame);
        final byte[] line = Arrays.copyOf(json, json.length + 1);
        line[json.length] = '\n';
        return line;
    }

    private void closeListener() {
        if (listener != null) {
            listener.end();
        }
    }

    /** Phase of an attempt. */
    enum Phase {
        /** Waits for a slot; nothing has been sent to the upstream. */
        QUEUED,
        /** The upstream has been called. */
        RUNNING,
        /** The last frame is known. */
        ENDED
    }
}
