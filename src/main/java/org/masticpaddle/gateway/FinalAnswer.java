package org.masticpaddle.gateway;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.masticpaddle.admission.RetryAfterPolicy;
import org.masticpaddle.decisions.Decision;

/**
 * The answer that the caller of one request gets, and the end of the request.
 *
 * <p>Invariants: there is exactly one final answer; the caller gets a 503, which means "not run", only if no attempt can have run; a
 * stream that was begun and is not whole is cut off, so that the caller does not take it for complete. Used on the event loop only.
 */
final class FinalAnswer {
    private final GatewayContext context;
    private final CallerExchange caller;
    private final AdmittedRequest admitted;
    private final RequestDecisions decisions;
    private final Runnable endAction;
    private Optional<StreamRelay> relay = Optional.empty();
    private boolean mayHaveRun;
    private boolean ended;

    /**
     * Creates the answer to a request that was not sent yet.
     *
     * @param endAction runs once when the request ends, before its caller gets the last byte
     */
    FinalAnswer(
            GatewayContext context,
            CallerExchange caller,
            AdmittedRequest admitted,
            RequestDecisions decisions,
            Runnable endAction) {
        this.context = Objects.requireNonNull(context, "context is null");
        this.caller = Objects.requireNonNull(caller, "caller is null");
        this.admitted = Objects.requireNonNull(admitted, "admitted is null");
        this.decisions = Objects.requireNonNull(decisions, "decisions is null");
        this.endAction = Objects.requireNonNull(endAction, "endAction is null");
    }

    boolean ended() {
        return ended;
    }

    /** Returns whether an upstream may have run the request. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Returns the relay of the stream, empty if no upstream has begun one that is delivered. */
    Optional<StreamRelay> relay() {
        return relay;
    }

    /** Returns whether the caller has got the beginning of a stream. */
    boolean streamStarted() {
        return relay.filter(StreamRelay::started).isPresent();
    }

    /** Returns the number of events that the caller has got. */
    int relayedEvents() {
        return relay.map(StreamRelay::relayedEvents).orElse(0);
    }

    /** Relays the stream of an attempt from its first event on. */
    void beginStream(Attempt streaming) {
        relay = Optional.of(new StreamRelay(
                caller,
                streaming.status(),
                HopByHopHeaders.strip(streaming.headers()),
                admitted.request().lastEventId()));
        admitted.releaseBodyOnAnswer();
    }

    /** Drops a stream of which the caller has received nothing. */
    void discardStream() {
        relay = Optional.empty();
    }

    /** Records the end of an attempt. Every end passes through here, so that none that may have run is forgotten. */
    void recordEnd(AttemptEnd end) {
        mayHaveRun |= end.mayHaveRun();
        relay.ifPresent(StreamRelay::discardPartialEvent);
    }

    /** Records that an upstream has run the request, in an attempt that goes on. */
    void recordRun() {
        mayHaveRun = true;
    }

    /** Ends the request after its stream was relayed whole. */
    void endStream(Work work) {
        end(
                Decision.REQUEST_ANSWERED,
                GatewayCounters.Counter.ANSWERED,
                work.attempt().status(),
                "",
                work);
    }

    /** Ends the request with the complete response of an attempt. */
    void respond(Work work) {
        if (ended) {
            return;
        }
        final Attempt completed = work.attempt();
        end(Decision.REQUEST_ANSWERED, GatewayCounters.Counter.ANSWERED, completed.status(), "", work);
        caller.respond(completed.status(), HopByHopHeaders.strip(completed.headers()), completed.takeBody());
    }

    /**
     * Ends the request without an answer of an upstream.
     *
     * @param reason reason for the log and the caller
     * @param statusIfRun status if the request may have run
     * @param minRetryAfterSeconds shortest delay after which the caller may repeat a request that has not run
     */
    void fail(String reason, int statusIfRun, double minRetryAfterSeconds, Work work) {
        if (ended) {
            return;
        }
        if (streamStarted()) {
            end(Decision.REQUEST_FAILED, GatewayCounters.Counter.FAILED, 0, reason, work);
            caller.abort();
        } else if (mayHaveRun) {
            end(Decision.REQUEST_FAILED, GatewayCounters.Counter.FAILED, statusIfRun, reason, work);
            caller.respond(statusIfRun, Map.of(), LocalResponses.errorBody(statusIfRun, reason));
        } else {
            end(Decision.REQUEST_REJECTED, GatewayCounters.Counter.REFUSED, 503, reason, work);
            final double retryAfterSeconds = Math.max(
                    minRetryAfterSeconds,
                    RetryAfterPolicy.BACKOFF.delaySeconds(admitted.route().objectiveMillis(), context.random()));
            caller.respond(
                    503, LocalResponses.retryAfterHeader(retryAfterSeconds), LocalResponses.errorBody(503, reason));
        }
    }

    /** Ends the request since its caller has disconnected. */
    void cancel(Work work) {
        if (!ended) {
            end(Decision.REQUEST_CANCELLED, GatewayCounters.Counter.CANCELLED, 0, "the caller disconnected", work);
        }
    }

    private void end(Decision decision, GatewayCounters.Counter counter, int status, String reason, Work work) {
        ended = true;
        admitted.body().release();
        endAction.run();
        context.counters().add(counter);
        decisions.ended(
                decision,
                status,
                reason,
                new RequestDecisions.Work(
                        work.attempts(),
                        Optional.ofNullable(work.attempt()),
                        work.model(),
                        relay.map(StreamRelay::relayedEvents)));
    }

    /**
     * What was done for the request. Immutable.
     *
     * @param attempts number of attempts that were sent
     * @param attempt last of them, {@code null} if there was none
     * @param model name of the last model, empty for plain services
     */
    record Work(int attempts, Attempt attempt, String model) {}
}
