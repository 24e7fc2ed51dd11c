package org.masticpaddle.gateway;

import java.io.ByteArrayOutputStream;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletionException;

import org.masticpaddle.fleet.InFlightRequest;
import org.masticpaddle.fleet.UpstreamState;
import org.masticpaddle.wire.HttpRequestException;
import org.masticpaddle.wire.HttpRequest;
import org.masticpaddle.wire.HttpClient;
import org.masticpaddle.wire.StreamHandle;
import org.masticpaddle.wire.StreamListener;

/**
 * One sending of a request to one upstream.
 *
 * <p>Invariants: after {@link #cancel()} the listener hears nothing more; the assignment is released exactly once. Used on
 * the event loop only.
 */
final class Attempt {
    private final UpstreamState upstream;
    private final InFlightRequest assignment;
    private final double expectedMillis;
    private final double ownMillis;
    private final boolean alone;
    private final long sentNanos;
    private final Listener listener;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private StreamHandle handle;
    private int status;
    private Map<String, String> headers = Map.of();
    private boolean headed;
    private boolean over;

    Attempt(
            UpstreamState upstream,
            InFlightRequest assignment,
            double expectedMillis,
            double ownMillis,
            boolean alone,
            long sentNanos,
            Listener listener) {
        this.upstream = Objects.requireNonNull(upstream, "upstream is null");
        this.assignment = Objects.requireNonNull(assignment, "assignment is null");
        this.expectedMillis = expectedMillis;
        this.ownMillis = ownMillis;
        this.alone = alone;
        this.sentNanos = sentNanos;
        this.listener = Objects.requireNonNull(listener, "listener is null");
    }

    void send(HttpClient client, HttpRequest call) {
        handle = client.stream(call, new StreamListener() {
            @Override
            public void onHead(int answerStatus, Map<String, String> answerHeaders) {
                if (!over) {
                    headed = true;
                    status = answerStatus;
                    headers = answerHeaders;
                    listener.headed(Attempt.this);
                }
            }

            @Override
            public void onBytes(byte[] bytes) {
                if (!over) {
                    listener.received(Attempt.this, bytes);
                }
            }
        });
        handle.finished().whenComplete((done, error) -> finish(error));
    }

    private void finish(Throwable error) {
        if (over) {
            return;
        }
        end();
        if (error == null) {
            listener.finished(this);
        } else {
            final Throwable cause = error instanceof CompletionException ? error.getCause() : error;
            listener.broken(
                    this,
                    cause instanceof HttpRequestException call
                            ? call
                            : new HttpRequestException(
                                    HttpRequestException.Delivery.POSSIBLY_SENT, String.valueOf(cause.getMessage()), cause));
        }
    }

    private void end() {
        over = true;
        upstream.release(assignment);
    }

    void cancel() {
        if (!over) {
            end();
            if (handle != null) {
                handle.cancel();
            }
        }
    }

    /** Ends the attempt as broken, for an upstream that is known to be lost. */
    void fail(String reason) {
        if (!over) {
            end();
            if (handle != null) {
                handle.cancel();
            }
            listener.broken(this, new HttpRequestException(HttpRequestException.Delivery.POSSIBLY_SENT, reason, null));
        }
    }

    void keep(byte[] bytes) {
        body.writeBytes(bytes);
    }

    byte[] body() {
        return body.toByteArray();
    }

    void started() {
        upstream.onAnswerStart(assignment);
    }

    UpstreamState upstream() {
        return upstream;
    }

    InFlightRequest assignment() {
        return assignment;
    }

    double expectedMillis() {
        return expectedMillis;
    }

    double ownMillis() {
        return ownMillis;
    }

    /** Whether nothing of this gateway was waiting at the upstream when the request was sent. */
    boolean alone() {
        return alone;
    }

    long sentNanos() {
        return sentNanos;
    }

    boolean over() {
        return over;
    }

    boolean headed() {
        return headed;
    }

    int status() {
        return status;
    }

    Map<String, String> headers() {
        return headers;
    }

    /** Receiver of what becomes of an attempt. */
    interface Listener {
        void headed(Attempt attempt);

        void received(Attempt attempt, byte[] bytes);

        void finished(Attempt attempt);

        void broken(Attempt attempt, HttpRequestException error);
    }
}
