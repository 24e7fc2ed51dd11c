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
 * <p>Invariants: frames of another attempt and bytes that were already received are dropped; a gap is an error. Frames
 * are taken by one input/output thread at a time; connections follow each other, so that the duty and the threads see
 * each other's writes.
 */
final class Attempt {
    // Above the longest answer that is recorded on the log, so that a longer one is seen to be too long.
    private static final int MAX_KEPT_BYTES = 8 * 1024;

    private final Dispatch dispatch;
    private final UpstreamView upstream;
    private final URI address;
    private final Responder target;
    private final long startedNanos;
    private final AnswerChecksum hash = new AnswerChecksum();
    private final ByteArrayOutputStream kept = new ByteArrayOutputStream();
    private volatile int status = 200;
    private volatile Frame last;
    private volatile boolean accepted;
    private volatile long firstByteNanos;
    private volatile boolean callerGone;
    private StreamHandle connection;
    private int connections;
    private boolean possiblySent;

    Attempt(Dispatch dispatch, UpstreamView upstream, URI address, Responder target, long startedNanos) {
        this.dispatch = Objects.requireNonNull(dispatch, "dispatch is null");
        this.upstream = Objects.requireNonNull(upstream, "upstream is null");
        this.address = Objects.requireNonNull(address, "address is null");
        this.target = Objects.requireNonNull(target, "target is null");
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

    Responder target() {
        return target;
    }

    /** Status of the upstream's answer. */
    int status() {
        return status;
    }

    /** The answer so far, cut off at the longest one that the log keeps. */
    byte[] answer() {
        return kept.toByteArray();
    }

    String text() {
        return kept.toString(StandardCharsets.UTF_8);
    }

    long startedNanos() {
        return startedNanos;
    }

    long firstByteNanos() {
        return firstByteNanos;
    }

    long received() {
        return hash.length();
    }

    boolean accepted() {
        return accepted;
    }

    boolean callerGone() {
        return callerGone;
    }

    /** Last frame of the answer; {@code null} while it is unknown. */
    Frame last() {
        return last;
    }

    void connection(StreamHandle handle) {
        connection = handle;
        connections++;
    }

    StreamHandle handle() {
        return connection;
    }

    int connections() {
        return connections;
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

    /** Takes one frame and passes its bytes on. Returns whether the frame is news for the duty. */
    boolean take(Frame frame, long nowNanos) {
        if (!frame.attemptId().equals(dispatch.attemptId()) || last != null) {
            return false;
        }
        if (frame instanceof Frame.Data data) {
            data(data, nowNanos);
            return false;
        }
        if (frame instanceof Frame.Head head) {
            status = head.status();
            target.head(head.status(), head.headers());
            return false;
        }
        if (frame instanceof Frame.Accepted) {
            accepted = true;
            return true;
        }
        last = frame;
        return true;
    }

    /** Whether the last frame proves that every byte was received. */
    boolean whole() {
        return last instanceof Frame.End end && end.length() == hash.length() && end.hash() == hash.value();
    }

    private void data(Frame.Data data, long nowNanos) {
        final long known = hash.length() - data.offset();
        if (known < 0) {
            throw new AnswerGapException(hash.length(), data.offset());
        }
        if (known >= data.bytes().length) {
            return;
        }
        final byte[] fresh =
                known == 0 ? data.bytes() : Arrays.copyOfRange(data.bytes(), (int) known, data.bytes().length);
        if (firstByteNanos == 0) {
            firstByteNanos = nowNanos;
        }
        hash.add(fresh);
        if (kept.size() <= MAX_KEPT_BYTES) {
            kept.writeBytes(fresh);
        }
        if (!target.bytes(fresh)) {
            callerGone = true;
        }
    }
}
