package org.masticpaddle.gateway;

import java.io.ByteArrayOutputStream;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.concurrent.CompletionException;

import org.masticpaddle.fleet.InFlightRequest;
import org.masticpaddle.fleet.UpstreamState;
import org.masticpaddle.memory.MemoryBudget;
import org.masticpaddle.wire.HttpRequest;
import org.masticpaddle.wire.HttpRequestException;
import org.masticpaddle.wire.StreamClient;
import org.masticpaddle.wire.StreamHandle;
import org.masticpaddle.wire.StreamListener;

/**
 * One attempt to run a request on one upstream.
 *
 * <p>Invariants: the listener is not called after {@link #cancel()}; the request is released at the upstream exactly once.
 * Used on the event loop only.
 */
final class Attempt {
    /** Largest body of an answer that is not a stream. */
    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

    private final UpstreamState upstream;
    private final InFlightRequest inFlight;
    private final double expectedMillis;
    private final double processingMillis;
    private final boolean sentWithoutBacklog;
    private final long sentNanos;
    private final Listener listener;
    private MemoryBudget.Reservation reservation =
            new MemoryBudget(Long.MAX_VALUE).open(MemoryBudget.Kind.COLLECTED, () -> {});
    private ByteArrayOutputStream body = new ByteArrayOutputStream();
    private StreamHandle handle;
    private int status;
    private Map<String, String> headers = Map.of();
    private boolean headReceived;
    private OptionalLong answerStartNanos = OptionalLong.empty();
    private int events;
    private boolean ended;
    private boolean limited;
    private Runnable endAction = () -> {};

    Attempt(
            UpstreamState upstream,
            InFlightRequest inFlight,
            double expectedMillis,
            double processingMillis,
            boolean sentWithoutBacklog,
            long sentNanos,
            Listener listener) {
        this.upstream = Objects.requireNonNull(upstream, "upstream is null");
        this.inFlight = Objects.requireNonNull(inFlight, "inFlight is null");
        this.expectedMillis = expectedMillis;
        this.processingMillis = processingMillis;
        this.sentWithoutBacklog = sentWithoutBacklog;
        this.sentNanos = sentNanos;
        this.listener = Objects.requireNonNull(listener, "listener is null");
    }

    /**
     * Sets the memory in which parts of the answer are reserved until the attempt ends. The attempt fails if it loses its part.
     *
     * @param memory memory for answers
     * @param onDropped runs before the attempt fails
     */
    void reserveIn(MemoryBudget memory, Runnable onDropped) {
        reservation = memory.open(MemoryBudget.Kind.COLLECTED, () -> {
            onDropped.run();
            limited = true;
            fail("the memory for answers is used up");
        });
    }

    void send(StreamClient client, HttpRequest request) {
        final StreamHandle stream = client.stream(request, new StreamListener() {
            @Override
            public boolean mayBeSent() {
                return !ended && listener.mayBeSent(Attempt.this);
            }

            @Override
            public void onHead(int responseStatus, Map<String, String> responseHeaders) {
                if (!ended) {
                    headReceived = true;
                    status = responseStatus;
                    headers = responseHeaders;
                    listener.onResponseHead(Attempt.this);
                }
            }

            @Override
            public void onBytes(byte[] bytes) {
                if (!ended) {
                    listener.onResponseBytes(Attempt.this, bytes);
                }
            }
        });
        handle = ended ? null : stream;
        stream.finished().whenComplete((ignored, error) -> onStreamFinished(error));
    }

    private void onStreamFinished(Throwable error) {
        if (ended) {
            return;
        }
        end();
        if (error == null) {
            listener.onResponseComplete(this);
        } else {
            discardBody();
            final Throwable cause = error instanceof CompletionException ? error.getCause() : error;
            listener.onAttemptFailed(
                    this,
                    cause instanceof HttpRequestException requestException
                            ? requestException
                            : new HttpRequestException(
                                    HttpRequestException.Delivery.POSSIBLY_SENT,
                                    String.valueOf(cause.getMessage()),
                                    cause));
        }
    }

    private void end() {
        ended = true;
        // It refers to the body of the request, whose memory may be given back before this attempt is forgotten.
        handle = null;
        reservation.close();
        upstream.release(inFlight);
        endAction.run();
    }

    /** Sets the action that runs when the attempt ends, before its listener is called. */
    void onEnd(Runnable action) {
        endAction = Objects.requireNonNull(action, "action is null");
    }

    void cancel() {
        if (!ended) {
            final StreamHandle stream = handle;
            end();
            discardBody();
            if (stream != null) {
                stream.cancel();
            }
        }
    }

    /** Cancels the attempt and reports it as failed, so that the request can be retried at once. */
    void fail(String reason) {
        if (!ended) {
            cancel();
            listener.onAttemptFailed(
                    this, new HttpRequestException(HttpRequestException.Delivery.POSSIBLY_SENT, reason, null));
        }
    }

    /** Keeps bytes of a body for the caller, or fails the attempt if the body is too large. */
    void bufferBody(byte[] bytes) {
        if (body.size() + bytes.length > MAX_BODY_BYTES) {
            fail("the body exceeds " + MAX_BODY_BYTES + " bytes");
        } else if (reservation.resize(body.size() + bytes.length)) {
            body.writeBytes(bytes);
        }
    }

    /** Reserves the bytes of a stream that are kept until an event is complete, or fails the attempt. */
    void holdPartialEvent(int bytes) {
        reservation.resize(bytes);
    }

    /** Reads the answer on, or leaves it to the upstream while the caller does not take what was read. */
    void setReading(boolean reading) {
        if (ended || handle == null) {
            return;
        }
        if (reading) {
            handle.resume();
        } else {
            limited = true;
            handle.pause();
        }
    }

    /**
     * Returns whether the gateway itself has limited the answer, by not reading it for a time or by dropping it for want of memory, so
     * that its end says nothing of the upstream.
     */
    boolean limited() {
        return limited;
    }

    /** Returns the bytes of the body and keeps none of them, since an attempt may be referenced for longer than its answer. */
    byte[] takeBody() {
        final byte[] bytes = body.toByteArray();
        discardBody();
        return bytes;
    }

    private void discardBody() {
        body = new ByteArrayOutputStream(0);
    }

    /** Records that the upstream has begun to answer, so that its backlog no longer includes this prompt. */
    void markStarted(long now) {
        answerStartNanos = OptionalLong.of(now);
        upstream.onAnswerStart(inFlight);
    }

    /** Records the number of complete events that this attempt has delivered so far. */
    void recordEvents(int count) {
        events = count;
    }

    /** Returns the time at which the upstream began to answer with a stream, empty if it has not. */
    OptionalLong answerStartNanos() {
        return answerStartNanos;
    }

    /** Returns the number of complete events that this attempt has delivered. */
    int events() {
        return events;
    }

    UpstreamState upstream() {
        return upstream;
    }

    InFlightRequest inFlight() {
        return inFlight;
    }

    double expectedMillis() {
        return expectedMillis;
    }

    double processingMillis() {
        return processingMillis;
    }

    /**
     * Returns whether the upstream had no prompt of this gateway left to prefill when this request was sent, so that the time
     * to the first event measures this request alone.
     */
    boolean sentWithoutBacklog() {
        return sentWithoutBacklog;
    }

    long sentNanos() {
        return sentNanos;
    }

    boolean ended() {
        return ended;
    }

    boolean headReceived() {
        return headReceived;
    }

    int status() {
        return status;
    }

    Map<String, String> headers() {
        return headers;
    }

    /** Receives the response to an attempt. */
    interface Listener {
        /** Returns whether the request is still to be sent, now that the connection to the upstream is open. */
        boolean mayBeSent(Attempt attempt);

        /** Called with the status and headers, before any byte of the body. */
        void onResponseHead(Attempt attempt);

        /** Called for each read of the body. */
        void onResponseBytes(Attempt attempt, byte[] bytes);

        /** Called once the whole response was received. */
        void onResponseComplete(Attempt attempt);

        /** Called if no complete response was received. */
        void onAttemptFailed(Attempt attempt, HttpRequestException error);
    }
}
