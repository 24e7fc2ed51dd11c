package org.masticpaddle.entry;

import java.io.ByteArrayOutputStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Objects;

import org.masticpaddle.routing.UpstreamView;
import org.masticpaddle.wire.AnswerChecksum;
import org.masticpaddle.wire.Dispatch;
import org.masticpaddle.wire.Frame;
import org.masticpaddle.wire.StreamHandle;

/**
 * One attempt of a request at one sidecar, over one or more connections.
 *
 * <p>Invariants: frames of another attempt and bytes that were already received are dropped; a gap in the bytes raises
 * {@link AnswerGapException}. Thread safety: frames are accepted by one I/O thread at a time, and a connection
 * opens only after the previous one has ended, which makes the writes of the duty and of those threads visible to each
 * other.
 */
final class Attempt {
    // Longer than the longest answer that is recorded on the log, so that a truncated answer is recognized as too long.
    private static final int MAX_ANSWER_PREFIX_BYTES = 8 * 1024;

    private final Dispatch dispatch;
    private final UpstreamView upstream;
    private final URI address;
    private final Responder responder;
    private final long startedNanos;
    private final AnswerChecksum checksum = new AnswerChecksum();
    private final ByteArrayOutputStream answerPrefix = new ByteArrayOutputStream();
    private volatile int status = 200;
    private volatile Frame lastFrame;
    private volatile boolean accepted;
    private volatile long firstByteNanos;
    private volatile boolean callerDisconnected;
    private StreamHandle connection;
    private int connectionCount;
    private boolean possiblySent;

    Attempt(Dispatch dispatch, UpstreamView upstream, URI address, Responder responder, long startedNanos) {
        this.dispatch = Objects.requireNonNull(dispatch, "dispatch is null");
        this.upstream = Objects.requireNonNull(upstream, "upstream is null");
        this.address = Objects.requireNonNull(address, "address is null");
        this.responder = Objects.requireNonNull(responder, "responder is null");
        this.startedNanos = startedNanos;
    }

    Dispatch dispatch() {
        return dispatch;
    }

    UpstreamView upstream() {
        return upstream;
    }

    URI address() {
        return address;
    }

    Responder responder() {
        return responder;
    }

    /** HTTP status of the upstream's answer; 200 until a head frame arrives. */
    int status() {
        return status;
    }

    /** Bytes received so far; truncated once the answer is too long to be recorded on the log. */
    byte[] answerPrefix() {
        return answerPrefix.toByteArray();
    }

    /** The bytes of {@link #answerPrefix} as text. */
    String answerPrefixText() {
        return answerPrefix.toString(StandardCharsets.UTF_8);
    }

    long startedNanos() {
        return startedNanos;
    }

    /** Monotonic time at which the first byte arrived, 0 if none has. */
    long firstByteNanos() {
        return firstByteNanos;
    }

    /** Number of bytes received without a gap, the offset from which to resume. */
    long receivedBytes() {
        return checksum.length();
    }

    /** Whether the sidecar has acknowledged the dispatch. */
    boolean accepted() {
        return accepted;
    }

    boolean callerDisconnected() {
        return callerDisconnected;
    }

    /** End or failure frame; {@code null} until one arrives. */
    Frame lastFrame() {
        return lastFrame;
    }

    void addConnection(StreamHandle handle) {
        connection = handle;
        connectionCount++;
    }

    StreamHandle connection() {
        return connection;
    }

    int connectionCount() {
        return connectionCount;
    }

    void closeConnection() {
        if (connection != null) {
            connection.cancel();
        }
    }

    /** Whether the sidecar may have received the dispatch. */
    boolean possiblySent() {
        return possiblySent;
    }

    void markPossiblySent() {
        possiblySent = true;
    }

    /**
     * Processes a frame and passes its bytes to the responder.
     *
     * @return {@code true} if the duty has to be notified: the dispatch was acknowledged or the attempt has ended
     * @throws AnswerGapException if bytes before those of the frame are missing
     */
    boolean accept(Frame frame, long nowNanos) {
        if (!frame.attemptId().equals(dispatch.attemptId()) || lastFrame != null) {
            return false;
        }
        if (frame instanceof Frame.Data data) {
            acceptData(data, nowNanos);
            return false;
        }
        if (frame instanceof Frame.Head head) {
            status = head.status();
            responder.setHead(head.status(), head.headers());
            return false;
        }
        if (frame instanceof Frame.Accepted) {
            accepted = true;
            return true;
        }
        lastFrame = frame;
        return true;
    }

    /** Whether the attempt has ended and the length and hash in its end frame match the received bytes. */
    boolean complete() {
        return lastFrame instanceof Frame.End end
                && end.length() == checksum.length()
                && end.hash() == checksum.value();
    }

    private void acceptData(Frame.Data data, long nowNanos) {
        final long overlap = checksum.length() - data.offset();
        if (overlap < 0) {
            throw new AnswerGapException(checksum.length(), data.offset());
        }
        if (overlap >= data.bytes().length) {
            return;
        }
        final byte[] newBytes =
                overlap == 0 ? data.bytes() : Arrays.copyOfRange(data.bytes(), (int) overlap, data.bytes().length);
        if (firstByteNanos == 0) {
            firstByteNanos = nowNanos;
        }
        checksum.add(newBytes);
        if (answerPrefix.size() <= MAX_ANSWER_PREFIX_BYTES) {
            answerPrefix.writeBytes(newBytes);
        }
        if (!responder.write(newBytes)) {
            callerDisconnected = true;
        }
    }
}
