package org.masticpaddle.sidecar;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;

import org.masticpaddle.wire.Charge;
import org.masticpaddle.wire.Dispatch;
import org.masticpaddle.wire.HttpClient;
import org.masticpaddle.wire.HttpRequest;
import org.masticpaddle.wire.HttpRequestException;
import org.masticpaddle.wire.MalformedMessageException;
import org.masticpaddle.wire.RunState;
import org.masticpaddle.wire.StreamListener;

/**
 * Sends the requests of an attempt to the upstream, resumes interrupted engine streams and classifies the results.
 *
 * <p>Invariant: the initial request of an attempt is sent once; further requests only resume the same run of an engine.
 * Must be called by the thread that owns the attempts; posts events from I/O threads.
 */
final class UpstreamRunner {
    private static final int MAX_REQUESTS_PER_ATTEMPT = 3;
    private static final int MIN_CLIENT_ERROR_STATUS = 400;
    private static final int OK_STATUS = 200;
    private static final int MIN_SERVER_ERROR_STATUS = 500;
    private static final int SERVICE_UNAVAILABLE_STATUS = 503;

    private final HttpClient client;
    private final UpstreamRequestFactory requestFactory;
    private final Consumer<SidecarEvent> eventSink;

    UpstreamRunner(HttpClient client, UpstreamRequestFactory requestFactory, Consumer<SidecarEvent> eventSink) {
        this.client = Objects.requireNonNull(client, "client is null");
        this.requestFactory = Objects.requireNonNull(requestFactory, "requestFactory is null");
        this.eventSink = Objects.requireNonNull(eventSink, "eventSink is null");
    }

    void start(Attempt attempt, long nowNanos) {
        final long remainingMillis = (attempt.deadlineNanos() - nowNanos) / 1_000_000;
        send(attempt, requestFactory.initial(attempt.dispatch(), remainingMillis), nowNanos);
    }

    void receiveBytes(Attempt attempt, byte[] bytes) {
        if (!attempt.isChat()) {
            attempt.appendAnswer(bytes);
        } else if (attempt.status() < MIN_CLIENT_ERROR_STATUS) {
            // The body of an engine's error is not an answer. Relaying it would also prevent a retry on another
            // upstream, which is possible only until the caller has received bytes.
            attempt.streamDecoder().accept(bytes);
        }
    }

    void cancel(Attempt attempt) {
        attempt.cancelUpstream();
        if (attempt.isChat()) {
            client.send(requestFactory.cancel(attempt.dispatch()));
        }
    }

    /**
     * Classifies the end of a request. Sends another request to resume an interrupted stream, if the engine has begun
     * it.
     */
    Outcome endRequest(Attempt attempt, Throwable error, long nowNanos) {
        final boolean truncated = error == null
                && attempt.isChat()
                && attempt.status() < MIN_CLIENT_ERROR_STATUS
                && !attempt.streamDecoder().endMarkerReceived();
        if (error == null && !truncated) {
            return classifyResponse(attempt);
        }
        final boolean sent = !(cause(error) instanceof HttpRequestException exception)
                || exception.delivery() == HttpRequestException.Delivery.POSSIBLY_SENT;
        if (!sent && attempt.requestCount() == 1) {
            return new Outcome.Failed("upstream_unreachable", "the upstream cannot be reached", RunState.NOT_RUN);
        }
        if (attempt.isChat() && attempt.status() != 0 && attempt.requestCount() < MAX_REQUESTS_PER_ATTEMPT) {
            final long remainingMillis = (attempt.deadlineNanos() - nowNanos) / 1_000_000;
            send(
                    attempt,
                    requestFactory.resume(
                            attempt.dispatch(), attempt.streamDecoder().receivedBytes(), remainingMillis),
                    nowNanos);
            return new Outcome.Resumed();
        }
        return new Outcome.Failed("upstream_failed", message(error), RunState.UNKNOWN);
    }

    private void send(Attempt attempt, HttpRequest request, long nowNanos) {
        // A resumed body may start within an event, so the decoder is reused with its buffered partial event.
        final EngineStreamDecoder decoder = attempt.requestCount() == 0
                ? new EngineStreamDecoder(attempt.id(), attempt::appendAnswer)
                : attempt.streamDecoder();
        final int requestNumber = attempt.beginRequest(decoder, nowNanos);
        final boolean isInitial = requestNumber == 1;
        final String id = attempt.id();
        final var handle = client.stream(request, new StreamListener() {
            @Override
            public void onHead(int status, Map<String, String> headers) {
                if (isInitial) {
                    eventSink.accept(new SidecarEvent.HeadReceived(id, requestNumber, status, headers));
                } else if (status != OK_STATUS) {
                    throw new MalformedMessageException("the engine answered status " + status + " to a resume", null);
                }
            }

            @Override
            public void onBytes(byte[] bytes) {
                eventSink.accept(new SidecarEvent.BytesReceived(id, requestNumber, bytes));
            }
        });
        attempt.setUpstreamHandle(handle);
        handle.finished()
                .whenComplete(
                        (ignored, error) -> eventSink.accept(new SidecarEvent.RequestEnded(id, requestNumber, error)));
    }

    private static Outcome classifyResponse(Attempt attempt) {
        if (!attempt.isChat()) {
            return attempt.status() == SERVICE_UNAVAILABLE_STATUS
                            && attempt.dispatch().idempotent()
                    ? new Outcome.Failed("upstream_refused", "the upstream answered 503", RunState.UNKNOWN)
                    : new Outcome.Complete("stop", plainCharge(attempt));
        }
        if (attempt.status() >= MIN_SERVER_ERROR_STATUS) {
            return new Outcome.Failed("upstream_failed", "the engine answered " + attempt.status(), RunState.UNKNOWN);
        }
        if (attempt.status() >= MIN_CLIENT_ERROR_STATUS) {
            return new Outcome.Failed("upstream_refused", "the engine answered " + attempt.status(), RunState.NOT_RUN);
        }
        final EngineStreamDecoder stream = attempt.streamDecoder();
        return new Outcome.Complete(
                stream.finishReason(), charge(attempt, stream.promptTokens(), stream.outputTokens()));
    }

    private static Charge plainCharge(Attempt attempt) {
        return charge(attempt, 0, 0);
    }

    private static Charge charge(Attempt attempt, int promptTokens, int outputTokens) {
        final Dispatch dispatch = attempt.dispatch();
        final long price = attempt.status() >= MIN_CLIENT_ERROR_STATUS
                ? 0
                : dispatch.pricing().priceMicros(promptTokens, outputTokens);
        final boolean draft = dispatch.pricing().draft();
        return new Charge(
                dispatch.identity(),
                dispatch.organisation(),
                dispatch.model(),
                dispatch.version(),
                promptTokens,
                outputTokens,
                draft ? 0 : price,
                draft ? price : 0,
                dispatch.attemptId());
    }

    private static Throwable cause(Throwable error) {
        return error instanceof CompletionException ? error.getCause() : error;
    }

    private static String message(Throwable error) {
        return error == null
                ? "the engine's stream ended early"
                : String.valueOf(cause(error).getMessage());
    }

    /** Outcome of a request to the upstream. */
    sealed interface Outcome {
        /** The stream was interrupted and another request was sent to resume it. */
        record Resumed() implements Outcome {}

        /** The answer is complete. */
        record Complete(String finishReason, Charge charge) implements Outcome {}

        /** The attempt ended without a complete answer. */
        record Failed(String reason, String message, RunState run) implements Outcome {}
    }
}
