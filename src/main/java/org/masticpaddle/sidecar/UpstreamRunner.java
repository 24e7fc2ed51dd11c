package org.masticpaddle.sidecar;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;

import org.masticpaddle.wire.HttpRequestException;
import org.masticpaddle.wire.Charge;
import org.masticpaddle.wire.Dispatch;
import org.masticpaddle.wire.HttpRequest;
import org.masticpaddle.wire.HttpClient;
import org.masticpaddle.wire.MalformedMessageException;
import org.masticpaddle.wire.RunState;
import org.masticpaddle.wire.StreamListener;

/**
 * Calls the upstream for an attempt, continues a broken engine stream, and judges how a call ended.
 *
 * <p>Invariant: the first call of an attempt is made once; only an engine's stream is ever called again, and then to
 * resume the same run. Called by the thread that owns the attempts; posts events from input/output threads.
 */
final class UpstreamRunner {
    private static final int MAX_CALLS = 3;
    private static final int CLIENT_ERROR = 400;
    private static final int OK = 200;
    private static final int SERVER_ERROR = 500;
    private static final int REFUSED = 503;

    private final HttpClient client;
    private final UpstreamClient calls;
    private final Consumer<SidecarEvent> events;

    UpstreamRunner(HttpClient client, UpstreamClient calls, Consumer<SidecarEvent> events) {
        this.client = Objects.requireNonNull(client, "client is null");
        this.calls = Objects.requireNonNull(calls, "calls is null");
        this.events = Objects.requireNonNull(events, "events is null");
    }

    void start(Attempt attempt, long nowNanos) {
        final long left = (attempt.deadlineNanos() - nowNanos) / 1_000_000;
        call(attempt, calls.first(attempt.dispatch(), left), nowNanos);
    }

    void bytes(Attempt attempt, byte[] bytes) {
        if (!attempt.chat()) {
            attempt.answered(bytes);
        } else if (attempt.status() < CLIENT_ERROR) {
            // The body of an engine's error is no answer, and bytes that reach a caller rule out another upstream.
            attempt.engineStream().accept(bytes);
        }
    }

    void cancel(Attempt attempt) {
        attempt.cancelUpstream();
        if (attempt.chat()) {
            client.send(calls.cancel(attempt.dispatch()));
        }
    }

    /** Judges the end of a call; a broken stream is called again if the engine can resume it. */
    Verdict ended(Attempt attempt, Throwable error, long nowNanos) {
        final boolean cutOff = error == null
                && attempt.chat()
                && attempt.status() < CLIENT_ERROR
                && !attempt.engineStream().done();
        if (error == null && !cutOff) {
            return judgeAnswer(attempt);
        }
        final boolean sent = !(cause(error) instanceof HttpRequestException call)
                || call.delivery() == HttpRequestException.Delivery.POSSIBLY_SENT;
        if (!sent && attempt.calls() == 1) {
            return new Verdict.Broken("upstream_unreachable", "the upstream cannot be reached", RunState.NOT_RUN);
        }
        if (attempt.chat() && attempt.status() != 0 && attempt.calls() < MAX_CALLS) {
            final long left = (attempt.deadlineNanos() - nowNanos) / 1_000_000;
            call(
                    attempt,
                    calls.resume(attempt.dispatch(), attempt.engineStream().received(), left),
                    nowNanos);
            return new Verdict.Continued();
        }
        return new Verdict.Broken("upstream_failed", message(error), RunState.UNKNOWN);
    }

    private void call(Attempt attempt, HttpRequest call, long nowNanos) {
        // A resumed body goes on in the middle of an event, so the decoder with its partial event is kept.
        final EngineStream decoder =
                attempt.calls() == 0 ? new EngineStream(attempt.id(), attempt::answered) : attempt.engineStream();
        final int number = attempt.beginCall(decoder, nowNanos);
        final boolean first = number == 1;
        final String id = attempt.id();
        final var handle = client.stream(call, new StreamListener() {
            @Override
            public void onHead(int status, Map<String, String> headers) {
                if (first) {
                    events.accept(new SidecarEvent.Head(id, number, status, headers));
                } else if (status != OK) {
                    throw new MalformedMessageException("the engine answered status " + status + " to a resume", null);
                }
            }

            @Override
            public void onBytes(byte[] bytes) {
                events.accept(new SidecarEvent.Bytes(id, number, bytes));
            }
        });
        attempt.calling(handle);
        handle.finished().whenComplete((ignored, error) -> events.accept(new SidecarEvent.Ended(id, number, error)));
    }

    private static Verdict judgeAnswer(Attempt attempt) {
        if (!attempt.chat()) {
            return attempt.status() == REFUSED && attempt.dispatch().idempotent()
                    ? new Verdict.Broken("upstream_refused", "the upstream answered 503", RunState.UNKNOWN)
                    : new Verdict.Complete("stop", plainCharge(attempt));
        }
        if (attempt.status() >= SERVER_ERROR) {
            return new Verdict.Broken("upstream_failed", "the engine answered " + attempt.status(), RunState.UNKNOWN);
        }
        if (attempt.status() >= CLIENT_ERROR) {
            return new Verdict.Broken("upstream_refused", "the engine answered " + attempt.status(), RunState.NOT_RUN);
        }
        final EngineStream stream = attempt.engineStream();
        return new Verdict.Complete(
                stream.finishReason(), charge(attempt, stream.promptTokens(), stream.outputTokens()));
    }

    private static Charge plainCharge(Attempt attempt) {
        return charge(attempt, 0, 0);
    }

    private static Charge charge(Attempt attempt, int promptTokens, int outputTokens) {
        final Dispatch dispatch = attempt.dispatch();
        final long price =
                attempt.status() >= CLIENT_ERROR ? 0 : dispatch.pricing().priceMicros(promptTokens, outputTokens);
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

    /** How a call to the upstream ended. */
    sealed interface Verdict {
        /** The stream goes on in a new call. */
        record Continued() implements Verdict {}

        /** The answer is whole. */
        record Complete(String finishReason, Charge charge) implements Verdict {}

        /** There is no whole answer. */
        record Broken(String reason, String message, RunState run) implements Verdict {}
    }
}
