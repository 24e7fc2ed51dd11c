package org.masticpaddle.gateway;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

import org.masticpaddle.fleet.Availability;
import org.masticpaddle.fleet.InFlightRequest;
import org.masticpaddle.fleet.UpstreamState;
import org.masticpaddle.kernel.Scheduler;
import org.masticpaddle.quarantine.Admission;
import org.masticpaddle.routing.DraftDecision;
import org.masticpaddle.routing.UpstreamPlacement;
import org.masticpaddle.wire.HttpRequestException;

/**
 * Forwards one caller's request to upstreams, with retries, stream resumption and escalation to a larger model, until the
 * caller has its final answer.
 *
 * <p>Invariants: at most one attempt is in flight, besides the one whose draft is held while the largest model is asked; an
 * attempt that may have run is retried only if the route allows it; the final answer comes at the deadline at the latest. Used
 * on the event loop only.
 */
final class RequestForwarder implements Attempt.Listener {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    /** Delay after which a request that waits is planned again. */
    private static final long RECHECK_MILLIS = 40;
    /** HTTP status of an instance that is not the one that the request names. */
    private static final int MISDIRECTED = 421;
    /** HTTP status of an upstream that rejects a request. */
    private static final int UNAVAILABLE = 503;

    private final GatewayContext context;
    private final CallerExchange caller;
    private final AdmittedRequest admitted;
    private final String service;
    private final long deadlineNanos;
    private final RequestModels models;
    private final UpstreamChooser chooser;
    private final Escalation escalation;
    private final EstimateRecorder estimates;
    private final RequestDecisions decisions;
    private final UpstreamReportRecorder reports;
    private final UpstreamRequestFactory requests;
    private final FinalAnswer answer;
    private Scheduler.Timer deadlineTimer;
    private PromptGuard guard;
    private AttemptPlanner planner;
    private Attempt attempt;
    private AttemptObserver observer;
    private Optional<HeldDraft> heldDraft = Optional.empty();
    private boolean answerWasHeld;
    private String model;
    private int modelIndex;
    private int sentAttempts;
    private int eventsBeforeAttempt;
    private String lastFailure = "no upstream was found";

    RequestForwarder(GatewayContext context, CallerExchange caller, AdmittedRequest admitted) {
        this.context = Objects.requireNonNull(context, "context is null");
        this.caller = Objects.requireNonNull(caller, "caller is null");
        this.admitted = Objects.requireNonNull(admitted, "admitted is null");
        service = admitted.route().selectService(context.random().nextDouble());
        models = new RequestModels(context.state(), admitted, service);
        chooser = new UpstreamChooser(context, admitted, service, models);
        escalation = new Escalation(context, admitted, service, models, chooser);
        estimates = new EstimateRecorder(context.state(), context.versionRouter(), service, models);
        decisions = new RequestDecisions(context, admitted);
        reports = new UpstreamReportRecorder(context, decisions);
        requests = new UpstreamRequestFactory(context, admitted);
        answer = new FinalAnswer(context, caller, admitted, decisions, this::onEnd);
        deadlineNanos = admitted.receivedNanos() + admitted.timeoutMillis() * NANOS_PER_MILLI;
        modelIndex = context.modelCascade()
                .draftModelIndex(admitted.route().modelsBySize().size());
        model = models.name(modelIndex);
    }

    void start() {
        context.counters().add(GatewayCounters.Counter.RECEIVED);
        context.state().retryBudget(service).recordFirstAttempt(now());
        deadlineTimer = context.scheduler().schedule(remainingMillis(), this::onDeadline);
        guard = context.quarantine().guard(service, models.sharedSegments(), this::onQuarantineChange);
        planner = new AttemptPlanner(context, admitted, service, chooser, escalation, guard);
        caller.onDisconnect(this::cancel);
        caller.setReadingListener(reading -> {
            if (attempt != null) {
                attempt.setReading(reading);
            }
        });
        startAttempt();
    }

    /** Ends the request since the process is about to end. */
    void stop() {
        if (heldDraft.isPresent() && !heldDraft.get().complete()) {
            dropHeldDraft();
        }
        fail("the gateway stops", 502, 0);
    }

    private void startAttempt() {
        if (answer.ended()) {
            return;
        }
        final AttemptPlanner.Plan plan = planner.next(model, modelIndex, sentAttempts, remainingMillis());
        if (heldDraft.isPresent() && !plan.startsNowUnsuspected()) {
            context.state().retryBudget(service).refundRetry(now());
            deliverDraft("the largest model cannot start now");
        } else if (plan instanceof AttemptPlanner.Send send) {
            modelIndex = send.modelIndex();
            model = models.name(modelIndex);
            send(send.choice(), send.admission());
        } else if (plan instanceof AttemptPlanner.Fail failure) {
            fail(failure);
        } else {
            context.scheduler().schedule(RECHECK_MILLIS, this::startAttempt);
        }
    }

    /** Stops the attempt in flight if it has not begun to be answered and may no longer run. */
    private void onQuarantineChange() {
        if (answer.ended()
                || attempt == null
                || attempt.ended()
                || attempt.answerStartNanos().isPresent()) {
            return;
        }
        final Admission admission = guard.admission();
        switch (admission.outcome()) {
            case TRIAL -> guard.beginTrial();
            case REJECTED -> fail(planner.quarantined(admission));
            case HELD -> {
                if (admitted.route().repeatable()) {
                    attempt.cancel();
                    endAttempt(AttemptEnd.CANCELLED);
                    lastFailure = "another request tries segment " + admission.segment();
                    retryOrFail(attempt, true);
                }
            }
            default -> {}
        }
    }

    private void send(UpstreamPlacement.Choice choice, Admission admission) {
        final UpstreamState upstream = choice.member();
        final InboundRequest request = admitted.request();
        final boolean sentWithoutBacklog = upstream.prefillBacklogMillis() == 0;
        final InFlightRequest inFlight = upstream.assign(
                model,
                request.prompt(),
                choice.uncachedTokens(),
                choice.serviceMillis(),
                models.tokenCapacity(),
                now());
        sentAttempts++;
        attempt = new Attempt(
                upstream, inFlight, choice.expectedMillis(), choice.serviceMillis(), sentWithoutBacklog, now(), this);
        attempt.reserveIn(
                context.answerMemory(), () -> context.counters().add(GatewayCounters.Counter.ANSWERS_DROPPED));
        final AttemptObserver versionObserver = context.versionRouter()
                .attemptSent(new VersionRouter.SentAttempt(
                        request.id(),
                        request.session(),
                        upstream.upstream(),
                        admitted.route().name(),
                        choice.expectedMillis(),
                        estimates.expectedEventMillis(choice, model, modelIndex)));
        observer = AttemptObserver.both(versionObserver, guard.observe(attempt, admission));
        context.counters().addSent(choice.workFactor());
        decisions.sent(choice, chooser.eligible(), model, sentAttempts, resumeAfterEvent(), remainingMillis());
        context.healthProbe().track(attempt);
        attempt.send(
                context.client(), requests.create(upstream.upstream(), model, remainingMillis(), resumeAfterEvent()));
    }

    private OptionalLong resumeAfterEvent() {
        return answer.relay()
                .filter(StreamRelay::started)
                .map(StreamRelay::lastEventId)
                .orElse(admitted.request().lastEventId());
    }

    @Override
    public boolean mayBeSent(Attempt opened) {
        if (caller.disconnected()) {
            cancel();
            return false;
        }
        if (opened.upstream().acceptsAssigned(now())) {
            return true;
        }
        withdraw(opened);
        return false;
    }

    /** Takes back an attempt whose upstream may no longer get it, since it said so or its failure domain was evacuated. */
    private void withdraw(Attempt chosen) {
        final Availability reason = chosen.upstream().availability(now());
        lastFailure = "the upstream is " + reason;
        context.counters().addWithdrawn(reason);
        chosen.cancel();
        endAttempt(AttemptEnd.NOT_RUN);
        sentAttempts--;
        if (sentAttempts > 0) {
            context.state().retryBudget(service).refundRetry(now());
        }
        decisions.attemptFailed(chosen, sentAttempts, lastFailure, answer.mayHaveRun());
        // The connection is still being set up in this call.
        context.scheduler().schedule(0, () -> retryOrFail(chosen, false));
    }

    @Override
    public void onResponseHead(Attempt responding) {
        final UpstreamState upstream = responding.upstream();
        final long now = now();
        upstream.recordActivity(now);
        final ResponseMetadata metadata = context.headerCodec().parseResponse(responding.headers());
        reports.record(responding, metadata);
        final ResponseVerdict verdict = classify(responding, metadata);
        if (verdict.failure() && !isFinalFailure(verdict, responding.status(), metadata)) {
            handleFailedResponse(responding, verdict);
            return;
        }
        if (heldDraft.isPresent() && responding.status() != 200) {
            responding.cancel();
            endAttempt(AttemptEnd.CANCELLED);
            deliverDraft("the largest model answered with status " + responding.status());
            return;
        }
        if (admitted.route().kind().streamed() && responding.status() == 200) {
            startStream(responding, metadata);
        } else {
            admitted.releaseBodyOnAnswer();
        }
    }

    private ResponseVerdict classify(Attempt responding, ResponseMetadata metadata) {
        final ResponseVerdict verdict = ResponseVerdict.classify(
                admitted.route(),
                admitted.request().id(),
                responding.status(),
                responding.headers().containsKey("content-encoding"),
                metadata,
                admitted.route().repeatable());
        if (answer.streamStarted()) {
            return verdict.continuingStream(responding.status());
        }
        // Whatever this response is, the caller has received nothing of an earlier one.
        answer.discardStream();
        return verdict;
    }

    /** Returns whether an upstream's failure is relayed to the caller because no further attempt is possible. */
    private boolean isFinalFailure(ResponseVerdict verdict, int status, ResponseMetadata metadata) {
        return verdict == ResponseVerdict.FAILED
                && metadata.signed()
                && status != UNAVAILABLE
                && status >= 500
                && heldDraft.isEmpty()
                && answer.relay().isEmpty()
                && (sentAttempts >= admitted.route().maxAttempts()
                        || remainingMillis() < AttemptPlanner.MIN_ATTEMPT_MILLIS);
    }

    /** Handles a response that is not relayed. Cancelling the attempt closes its connection. */
    private void handleFailedResponse(Attempt failed, ResponseVerdict verdict) {
        failed.cancel();
        lastFailure = verdict + " with status " + failed.status();
        if (verdict.mayHaveRun()) {
            chooser.onUpstreamFailed(failed.upstream().upstream());
            failed.upstream().onErrorResponse(now());
        } else if (failed.status() == MISDIRECTED) {
            failed.upstream().tripCircuit(now());
        } else {
            failed.upstream().onNotRun(now());
        }
        endAttempt(verdict.mayHaveRun() ? AttemptEnd.FAILED : AttemptEnd.NOT_RUN);
        decisions.attemptFailed(failed, sentAttempts, lastFailure, answer.mayHaveRun());
        retryOrFail(failed, verdict.mayHaveRun());
    }

    private void startStream(Attempt streaming, ResponseMetadata metadata) {
        estimates.recordAnswerStart(streaming, model, modelIndex, now());
        streaming.markStarted(now());
        eventsBeforeAttempt = answer.relayedEvents();
        if (answer.streamStarted()) {
            return;
        }
        final DraftDecision draft =
                escalation.decide(modelIndex, metadata.confidence(), sentAttempts, remainingMillis());
        if (draft == DraftDecision.ESCALATED) {
            escalate(streaming, escalation.largestIndex(), metadata.confidence().orElse(-1));
            return;
        }
        if (draft.constrained()) {
            decisions.draftKept(streaming, model, draft, metadata.confidence().orElse(-1));
        }
        answer.beginStream(streaming);
    }

    private void escalate(Attempt draft, int largerIndex, int confidence) {
        if (context.modelCascade().holdsDrafts() && admitted.route().repeatable()) {
            holdDraft(draft, largerIndex);
        } else {
            draft.cancel();
            endAttempt(AttemptEnd.DRAFT_DROPPED);
        }
        context.counters().add(GatewayCounters.Counter.ESCALATED);
        decisions.escalated(draft, model, models.name(largerIndex), confidence);
        modelIndex = largerIndex;
        model = models.name(largerIndex);
        startAttempt();
    }

    private void holdDraft(Attempt draft, int largerIndex) {
        answer.recordRun();
        heldDraft = Optional.of(new HeldDraft(
                draft,
                observer,
                model,
                modelIndex,
                context.scheduler()
                        .schedule(
                                Math.max(0, remainingMillis() - escalation.answerMillis(largerIndex)),
                                () -> deliverDraft("the largest model has not begun in time"))));
    }

    private boolean isHeld(Attempt receiving) {
        return heldDraft.isPresent() && heldDraft.get().attempt() == receiving;
    }

    /** Delivers the held draft in place of an answer of the largest model. */
    private void deliverDraft(String reason) {
        if (answer.ended() || heldDraft.isEmpty()) {
            return;
        }
        final HeldDraft draft = heldDraft.get();
        if (attempt != draft.attempt()) {
            cancelAttempt();
        }
        heldDraft = Optional.empty();
        draft.release();
        planner.close();
        answerWasHeld = true;
        decisions.draftDelivered(draft, model, reason);
        attempt = draft.attempt();
        observer = draft.observer();
        modelIndex = draft.modelIndex();
        model = draft.model();
        eventsBeforeAttempt = 0;
        answer.beginStream(attempt);
        final byte[] bytes = attempt.takeBody();
        if (bytes.length > 0) {
            onResponseBytes(attempt, bytes);
        }
        if (draft.complete() && !answer.ended()) {
            onResponseComplete(attempt);
        }
    }

    private void dropHeldDraft() {
        heldDraft.ifPresent(HeldDraft::drop);
        heldDraft = Optional.empty();
    }

    @Override
    public void onResponseBytes(Attempt receiving, byte[] bytes) {
        receiving.upstream().recordActivity(now());
        if (isHeld(receiving)) {
            heldDraft.get().hold(bytes);
            return;
        }
        if (answer.relay().isEmpty()) {
            receiving.bufferBody(bytes);
            return;
        }
        final StreamRelay relay = answer.relay().get();
        relay.accept(bytes);
        final int events = relay.relayedEvents() - eventsBeforeAttempt;
        if (events > 0) {
            dropHeldDraft();
            if (!answerWasHeld || events > receiving.events()) {
                receiving.recordEvents(events);
                observer.onEvents(events);
            }
        }
        if (relay.outOfSequence()) {
            receiving.fail("an event is missing or comes twice");
        } else if (relay.eventTooLarge()) {
            receiving.fail("an event does not end");
        } else {
            receiving.holdPartialEvent(relay.partialEventBytes());
        }
    }

    @Override
    public void onResponseComplete(Attempt completed) {
        if (isHeld(completed)) {
            heldDraft.get().markComplete();
            return;
        }
        if (answer.relay().isPresent()) {
            if (answer.relay().get().completeIfWhole()) {
                if (!answerWasHeld) {
                    estimates.recordAnswerEnd(completed, model, now());
                }
                endAttempt(AttemptEnd.ANSWERED);
                answer.endStream(work());
            } else {
                onAttemptFailed(
                        completed,
                        new HttpRequestException(
                                HttpRequestException.Delivery.POSSIBLY_SENT, "the stream ended inside an event", null));
            }
            return;
        }
        if (completed.status() < 300) {
            estimates.recordAnswerStart(completed, model, modelIndex, now());
            endAttempt(AttemptEnd.ANSWERED);
        } else if (completed.status() >= 500) {
            completed.upstream().onErrorResponse(now());
            endAttempt(AttemptEnd.FAILED);
        } else {
            endAttempt(AttemptEnd.CANCELLED);
        }
        answer.respond(work());
    }

    @Override
    public void onAttemptFailed(Attempt failed, HttpRequestException error) {
        lastFailure = error.reason();
        final boolean possiblySent = error.delivery() == HttpRequestException.Delivery.POSSIBLY_SENT;
        if (!failed.limited()) {
            failed.upstream().onUnreachable(now());
        }
        if (isHeld(failed)) {
            loseHeldDraft(failed);
            return;
        }
        if (possiblySent) {
            endAttempt(failed.limited() ? AttemptEnd.CANCELLED : AttemptEnd.LOST);
        } else {
            endAttempt(AttemptEnd.UNREACHABLE);
            sentAttempts--;
            if (sentAttempts > 0) {
                context.state().retryBudget(service).refundRetry(now());
            }
        }
        decisions.attemptFailed(failed, sentAttempts, lastFailure, answer.mayHaveRun());
        retryOrFail(failed, possiblySent);
    }

    private void loseHeldDraft(Attempt failed) {
        final HeldDraft draft = heldDraft.get();
        heldDraft = Optional.empty();
        draft.release();
        draft.observer().onEnd(failed.limited() ? AttemptEnd.CANCELLED : AttemptEnd.LOST);
        chooser.onTried(failed.upstream().upstream());
        decisions.attemptFailed(failed, sentAttempts, lastFailure, answer.mayHaveRun());
    }

    /**
     * Starts another attempt if repeating the request is safe, time and attempts are left and the retry budget allows it;
     * fails the request otherwise.
     */
    private void retryOrFail(Attempt failed, boolean attemptMayHaveRun) {
        if (answer.ended()) {
            return;
        }
        chooser.onTried(failed.upstream().upstream());
        if (heldDraft.isPresent()) {
            deliverDraft(lastFailure);
            return;
        }
        final boolean streamStarted = answer.streamStarted();
        if (attemptMayHaveRun && !admitted.route().repeatable()
                || streamStarted
                        && (answer.relay().get().outOfSequence()
                                || admitted.route().modelsBySize().isEmpty()
                                        && !admitted.route().resumable())) {
            fail(lastFailure);
        } else if (sentAttempts >= admitted.route().maxAttempts()
                || remainingMillis() < AttemptPlanner.MIN_ATTEMPT_MILLIS
                || guard.exhausted()) {
            fail("no attempt is left; last failure: " + lastFailure);
        } else if (sentAttempts > 0 && !context.state().retryBudget(service).tryRetry(now())) {
            context.counters().add(GatewayCounters.Counter.BUDGET_EMPTY);
            fail("the retry budget is empty; last failure: " + lastFailure);
        } else {
            context.counters().add(streamStarted ? GatewayCounters.Counter.RESUMED : GatewayCounters.Counter.RETRIED);
            startAttempt();
        }
    }

    private void onDeadline() {
        fail("no answer before the deadline; last failure: " + lastFailure, 504, 0);
    }

    private void fail(String reason) {
        fail(reason, 502, 0);
    }

    private void fail(AttemptPlanner.Fail failure) {
        fail(failure.reason() + "; last failure: " + lastFailure, 502, failure.retryAfterSeconds());
    }

    private void fail(String reason, int statusIfRun, double minRetryAfterSeconds) {
        if (heldDraft.isPresent()) {
            deliverDraft(reason);
            return;
        }
        cancelAttempt();
        answer.fail(reason, statusIfRun, minRetryAfterSeconds, work());
    }

    private void cancel() {
        dropHeldDraft();
        cancelAttempt();
        answer.cancel(work());
    }

    private void cancelAttempt() {
        if (!answer.ended() && attempt != null && !attempt.ended()) {
            attempt.cancel();
            endAttempt(AttemptEnd.CANCELLED);
        }
    }

    private void onEnd() {
        deadlineTimer.cancel();
        guard.close();
        planner.close();
    }

    private FinalAnswer.Work work() {
        return new FinalAnswer.Work(sentAttempts, attempt, model);
    }

    private void endAttempt(AttemptEnd end) {
        answer.recordEnd(end);
        observer.onEnd(end);
    }

    private long now() {
        return context.scheduler().nanos();
    }

    private long remainingMillis() {
        return Math.max(0, (deadlineNanos - now()) / NANOS_PER_MILLI);
    }
}
