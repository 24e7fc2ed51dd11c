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
 * An attempt, from its arrival until it is removed. Owned by the thread of {@link AttemptRunner}; not thread-safe.
 *
 * <p>Invariant: the response stream to the entry receives each byte of the answer once and in order, starting at the
 * offset that the entry requested.
 */
final class Attempt {
    private static final int MAX_RETAINED_ANSWER_BYTES = 1 << 20;

    private final Dispatch dispatch;
    private final long arrivedNanos;
    private final AnswerChecksum checksum = new AnswerChecksum();
    private final ByteArrayOutputStream retainedAnswer = new ByteArrayOutputStream();
    private boolean retainable = true;
    private ResponseStream responseStream;
    private Phase phase = Phase.QUEUED;
    private StreamHandle upstreamHandle;
    private EngineStreamDecoder streamDecoder;
    private int requestCount;
    private long startedNanos;
    private long endedNanos;
    private long detachedNanos;
    private int status;
    private Map<String, String> headers = Map.of();
    private Frame finalFrame;

    Attempt(Dispatch dispatch, ResponseStream responseStream, long nowNanos) {
        this.dispatch = dispatch;
        this.responseStream = responseStream;
        this.arrivedNanos = nowNanos;
    }

    Dispatch dispatch() {
        return dispatch;
    }

    String id() {
        return dispatch.attemptId();
    }

    boolean isChat() {
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

    /** Monotonic time in nanoseconds at which the entry disconnected, empty while one is connected. */
    Optional<Long> detachedNanos() {
        return responseStream == null ? Optional.of(detachedNanos) : Optional.empty();
    }

    long answerLength() {
        return checksum.length();
    }

    long answerChecksum() {
        return checksum.value();
    }

    int status() {
        return status;
    }

    /** The whole answer so far, empty if it exceeds the limit for retained answers. */
    Optional<byte[]> retainedAnswer() {
        return retainable ? Optional.of(retainedAnswer.toByteArray()) : Optional.empty();
    }

    EngineStreamDecoder streamDecoder() {
        return streamDecoder;
    }

    /** Begins a request to the upstream and returns its number. Events of earlier requests are ignored from then on. */
    int beginRequest(EngineStreamDecoder decoder, long nowNanos) {
        if (phase == Phase.QUEUED) {
            startedNanos = nowNanos;
        }
        phase = Phase.RUNNING;
        streamDecoder = decoder;
        return ++requestCount;
    }

    void setUpstreamHandle(StreamHandle handle) {
        upstreamHandle = handle;
    }

    boolean isCurrentRequest(int requestNumber) {
        return phase == Phase.RUNNING && requestNumber == requestCount;
    }

    int requestCount() {
        return requestCount;
    }

    void receiveHead(int upstreamStatus, Map<String, String> upstreamHeaders) {
        status = upstreamStatus;
        headers = upstreamHeaders;
        send(new Frame.Head(id(), status, headers));
    }

    void appendAnswer(byte[] bytes) {
        final long offset = checksum.length();
        checksum.add(bytes);
        if (retainable && retainedAnswer.size() + bytes.length > MAX_RETAINED_ANSWER_BYTES) {
            retainable = false;
            retainedAnswer.reset();
        }
        if (retainable) {
            retainedAnswer.writeBytes(bytes);
        }
        send(new Frame.Data(id(), offset, bytes));
    }

    /** Ends the attempt and sends its final frame. */
    void end(Frame frame, long nowNanos) {
        phase = Phase.ENDED;
        endedNanos = nowNanos;
        finalFrame = frame;
        send(frame);
        endResponseStream();
    }

    void cancelUpstream() {
        if (upstreamHandle != null) {
            upstreamHandle.cancel();
        }
    }

    /**
     * Replaces the response stream and sends it the answer from an offset on.
     *
     * @return {@code false} if the bytes from this offset on are not retained; the stream is then not replaced
     */
    boolean attach(ResponseStream newStream, long offset, Frame accepted) {
        if (!retainable && offset < checksum.length() || offset > checksum.length()) {
            return false;
        }
        if (responseStream != null) {
            responseStream.abort();
        }
        responseStream = newStream;
        send(accepted);
        if (status != 0) {
            send(new Frame.Head(id(), status, headers));
        }
        if (offset < checksum.length()) {
            final byte[] all = retainedAnswer.toByteArray();
            send(new Frame.Data(id(), offset, Arrays.copyOfRange(all, (int) offset, all.length)));
        }
        if (finalFrame != null) {
            send(finalFrame);
            endResponseStream();
        }
        return true;
    }

    void detach(ResponseStream closed, long nowNanos) {
        if (responseStream == closed) {
            responseStream = null;
            detachedNanos = nowNanos;
        }
    }

    void send(Frame frame) {
        if (responseStream != null) {
            responseStream.write(encodeLine(frame));
        }
    }

    static byte[] encodeLine(Frame frame) {
        final byte[] json = Json.encode(frame);
        final byte[] line = Arrays.copyOf(json, json.length + 1);
        line[json.length] = '\n';
        return line;
    }

    private void endResponseStream() {
        if (responseStream != null) {
            responseStream.end();
        }
    }

    /** Phase in the life cycle of an attempt. */
    enum Phase {
        /** Waiting for a slot; nothing has been sent to the upstream. */
        QUEUED,
        /** A request has been sent to the upstream. */
        RUNNING,
        /** The final frame has been set. */
        ENDED
    }
}
