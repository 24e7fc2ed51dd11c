package org.masticpaddle.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.masticpaddle.admission.EnqueueResult;
import org.masticpaddle.admission.LimitDecision;
import org.masticpaddle.admission.WaitingRequest;
import org.masticpaddle.claim.IdempotencyKey;
import org.masticpaddle.claim.KeyParseResult;
import org.masticpaddle.claim.KeyRejection;
import org.masticpaddle.document.EffectiveConfiguration;
import org.masticpaddle.routing.ModelSelector;
import org.masticpaddle.routing.SessionBinding;
import org.masticpaddle.routing.VersionConditions;
import org.masticpaddle.routing.VersionPlan;
import org.masticpaddle.routing.VersionRequest;
import org.masticpaddle.routing.VersionSelector;

/**
 * Processes a request from its arrival to its dispatch: checks the limits, finds the session, chooses the version and
 * queues the request.
 *
 * <p>Invariants: every submitted request ends exactly once, with an answer or an error, and then releases its queue
 * slot and its count in the organisation's limits. All methods run on the entry's duty.
 */
final class RequestScheduler {
    // Under overload thousands of requests wait; scanning them on every tick would keep the duty from other work.
    private static final long DEADLINE_SCAN_INTERVAL_NANOS = 50_000_000L;

    private final EntryContext context;
    private final AdmissionControl admission;
    private final Supplier<Optional<EffectiveConfiguration>> configuration;
    private final VersionSelector versionSelector;
    private final VersionTracker versionTracker;
    private final Upstreams upstreams;
    private final SessionBinder sessionBinder;
    private final Map<Long, RequestExecution> executions = new HashMap<>();
    private Dispatcher dispatcher;
    private CompletableFuture<Void> drained;
    private long lastId;
    private long nextDeadlineScanNanos;

    RequestScheduler(
            EntryContext context,
            Supplier<Optional<EffectiveConfiguration>> configuration,
            AdmissionControl admission,
            VersionSelector versionSelector,
            VersionTracker versionTracker,
            Upstreams upstreams,
            SessionBinder sessionBinder) {
        this.context = Objects.requireNonNull(context, "context is null");
        this.configuration = Objects.requireNonNull(configuration, "configuration is null");
        this.admission = Objects.requireNonNull(admission, "admission is null");
        this.versionSelector = Objects.requireNonNull(versionSelector, "versionSelector is null");
        this.versionTracker = Objects.requireNonNull(versionTracker, "versionTracker is null");
        this.upstreams = Objects.requireNonNull(upstreams, "upstreams is null");
        this.sessionBinder = Objects.requireNonNull(sessionBinder, "sessionBinder is null");
    }

    /** Starts attempts of requests that have left the admission queue. */
    interface Dispatcher {
        /**
         * Dispatches the request. The dispatcher later calls {@link RequestScheduler#complete},
         * {@link RequestScheduler#fail} or {@link RequestScheduler#requeue}.
         */
        void dispatch(RequestExecution execution);

        /** Abandons the current attempt after a timeout or a disconnect of the caller, and fails the request. */
        void abandon(RequestExecution execution);

        /**
         * Passes an error to the consumer, with its run state corrected if an earlier request with the same idempotency
         * key ran or may have run.
         */
        void correctRunState(RequestExecution execution, CallerError error, Consumer<CallerError> corrected);
    }

    /** Sets the dispatcher; called once, before the first request. */
    void setDispatcher(Dispatcher attemptDispatcher) {
        dispatcher = Objects.requireNonNull(attemptDispatcher, "dispatcher is null");
    }

    /** Starts to process a request, or fails it if the entry has no routing document or is draining. */
    void submit(CallerRequest request, Responder responder) {
        final Optional<EffectiveConfiguration> current = configuration.get();
        if (current.isEmpty() || drained != null) {
            responder.fail(CallerError.notRun(CallerError.Kind.NOT_READY, "this entry takes no requests now"));
            return;
        }
        final RequestExecution execution = new RequestExecution(++lastId, request, responder, current.get());
        executions.put(execution.id(), execution);
        responder.setHeader("Masticpaddle-Request", request.id());
        responder.onCallerDisconnect(() -> context.loop().execute(() -> onCallerDisconnect(execution)));
        if (acceptIdempotencyKey(execution) && withinLimits(execution)) {
            try {
                sessionBinder.resolve(execution, () -> chooseVersion(execution));
            } catch (CallerErrorException e) {
                fail(execution, e.error());
            }
        }
    }

    /** Ends a request with an error. Has no effect on a request that has already ended. */
    void fail(RequestExecution execution, CallerError error) {
        if (execution.ended()) {
            return;
        }
        release(execution, 0);
        dispatcher.correctRunState(
                execution,
                execution.mayHaveRun() ? error.afterPossibleRun() : error,
                corrected -> execution.responder().fail(corrected));
    }

    /**
     * Ends a request whose answer was delivered. Has no effect on a request that has already ended.
     *
     * @param tokens tokens that the answer used, 0 for a replayed answer
     */
    void complete(RequestExecution execution, long tokens) {
        if (!execution.ended()) {
            release(execution, tokens);
        }
    }

    /**
     * Returns a dispatched request to the queue, after a rejection by its sidecar or for the second step of a cascade.
     */
    void requeue(RequestExecution execution, long tokensUsed) {
        releaseQueueSlot(execution, tokensUsed);
        enqueue(execution);
    }

    /** Rejects new requests from now on. The result completes once all active requests have ended. */
    CompletableFuture<Void> drain() {
        final CompletableFuture<Void> done = new CompletableFuture<>();
        context.loop().execute(() -> {
            drained = done;
            completeDrainIfIdle();
        });
        return done;
    }

    /** Number of requests that have not ended. */
    int activeCount() {
        return executions.size();
    }

    /** Ends expired requests and dispatches waiting ones. */
    void tick() {
        final long now = context.nowNanos();
        admission
                .queue()
                .expire(now)
                .forEach(rejection -> fail(executions.get(rejection.request().id()), CallerErrorMapper.map(rejection)));
        if (now >= nextDeadlineScanNanos) {
            nextDeadlineScanNanos = now + DEADLINE_SCAN_INTERVAL_NANOS;
            for (final RequestExecution execution : new ArrayList<>(executions.values())) {
                if (now >= execution.request().deadlineNanos()) {
                    expire(execution);
                }
            }
        }
        dispatchWaiting();
    }

    /** Dispatches waiting requests for as long as the upstreams have capacity. */
    void dispatchWaiting() {
        final long now = context.nowNanos();
        Optional<WaitingRequest> next = admission.queue().dispatchNext(now, upstreams);
        while (next.isPresent()) {
            final RequestExecution execution = executions.get(next.get().id());
            upstreams.recordDispatch(execution.pool(), execution.request().rank());
            dispatcher.dispatch(execution);
            next = admission.queue().dispatchNext(now, upstreams);
        }
    }

    List<RequestExecution> executions() {
        return List.copyOf(executions.values());
    }

    private boolean acceptIdempotencyKey(RequestExecution execution) {
        final CallerRequest request = execution.request();
        if (request.target().idempotent() || request.idempotencyKey().isEmpty()) {
            return true;
        }
        final KeyParseResult result = IdempotencyKey.parse(
                request.organisation().name(), request.idempotencyKey().get(), request.keyCreated());
        if (result instanceof KeyParseResult.Accepted accepted) {
            execution.setKey(accepted.key());
            return true;
        }
        final KeyRejection reason = ((KeyParseResult.Rejected) result).reason();
        fail(execution, CallerError.notRun(CallerError.Kind.INVALID_IDEMPOTENCY_KEY, reason.message()));
        return false;
    }

    private boolean withinLimits(RequestExecution execution) {
        final LimitDecision decision = admission
                .organisationLimiter()
                .admit(
                        execution.request().organisation().name(),
                        execution.request().organisation().limits(),
                        execution.request().target().estimatedTokens(),
                        0,
                        context.nowNanos());
        if (decision instanceof LimitDecision.Exceeded exceeded) {
            fail(
                    execution,
                    CallerError.notRun(
                            CallerError.Kind.LIMIT_REACHED,
                            "a limit of the organisation is reached: "
                                    + exceeded.reason().label(),
                            exceeded.retryAfterNanos() / 1_000_000 + 1));
            return false;
        }
        execution.markCountedByLimits();
        return true;
    }

    private void chooseVersion(RequestExecution execution) {
        if (execution.ended()) {
            return;
        }
        if (!(execution.request().target() instanceof CallerRequest.Chat chat)) {
            enqueue(execution);
            return;
        }
        final VersionPlan plan = versionSelector.choose(
                execution.configuration().document(),
                versionRequest(execution, chat),
                versionTracker,
                context.random());
        if (plan instanceof VersionPlan.Refused refused) {
            fail(execution, CallerErrorMapper.map(refused.reason()));
            return;
        }
        if (plan instanceof VersionPlan.Cascade cascade) {
            execution.setCascade(cascade);
        } else {
            execution.setVersion(((VersionPlan.Single) plan).version());
        }
        sessionBinder.bind(execution, () -> enqueue(execution));
    }

    private VersionPlan choose(RequestExecution execution, VersionRequest request, VersionConditions conditions) {
        return versionSelector.choose(execution.configuration().document(), request, conditions, context.random());
    }

    private VersionRequest versionRequest(RequestExecution execution, CallerRequest.Chat chat) {
        final CallerRequest request = execution.request();
        return new VersionRequest(
                request.organisation(),
                request.kind(),
                ModelSelector.parse(chat.model()),
                request.quality(),
                chat.idempotent(),
                chat.promptTokens(),
                chat.maxTokens(),
                request.remainingMillis(context.nowNanos()),
                execution
                        .session()
                        .map(SessionBinding::session)
                        .or(request::session)
                        .orElse(request.id()),
                request.session().isPresent(),
                execution.session().map(SessionBinding::version));
    }

    private void enqueue(RequestExecution execution) {
        if (execution.ended()) {
            return;
        }
        final long now = context.nowNanos();
        final CallerRequest request = execution.request();
        final WaitingRequest slot = new WaitingRequest(
                execution.id(),
                request.organisation().name(),
                request.organisation().weight(),
                request.rank(),
                execution.pool(),
                execution.routedVersion().toString(),
                Math.max(1, request.target().estimatedTokens()),
                request.arrivalNanos(),
                request.deadlineNanos(),
                expectedRunNanos(execution),
                false);
        final EnqueueResult result = admission.queue().offer(slot, now);
        if (result instanceof EnqueueResult.Rejected rejected) {
            fail(execution, CallerErrorMapper.map(rejected.rejection()));
            return;
        }
        execution.setQueueSlot(slot);
        ((EnqueueResult.Queued) result)
                .displaced()
                .ifPresent(
                        rejection -> fail(executions.get(rejection.request().id()), CallerErrorMapper.map(rejection)));
        dispatchWaiting();
    }

    private long expectedRunNanos(RequestExecution execution) {
        if (execution.request().target() instanceof CallerRequest.Chat chat) {
            // A stream needs its first token before the deadline, any other answer its last one.
            final int tokens = chat.stream() ? 1 : chat.maxTokens();
            return (long)
                    (versionTracker.expectedMillis(execution.routedVersion(), chat.promptTokens(), tokens) * 1_000_000);
        }
        return 0;
    }

    private void expire(RequestExecution execution) {
        if (execution.attempt().isPresent()) {
            dispatcher.abandon(execution);
        } else if (!execution.claimPending()) {
            fail(
                    execution,
                    CallerError.notRun(CallerError.Kind.DEADLINE_EXCEEDED, "the deadline passed before the dispatch"));
        }
    }

    private void onCallerDisconnect(RequestExecution execution) {
        if (execution.ended()) {
            return;
        }
        execution.markCallerDisconnected();
        if (execution.attempt().isPresent()) {
            dispatcher.abandon(execution);
        } else {
            fail(execution, CallerError.notRun(CallerError.Kind.CALLER_GONE, "the caller is gone"));
        }
    }

    private void release(RequestExecution execution, long tokens) {
        execution.markEnded();
        executions.remove(execution.id());
        releaseQueueSlot(execution, tokens);
        if (execution.countedByLimits()) {
            final long expected = execution.request().target().estimatedTokens();
            admission
                    .organisationLimiter()
                    .release(execution.request().organisation().name(), tokens - expected, 0, context.nowNanos());
        }
        completeDrainIfIdle();
        context.loop().offer(this::dispatchWaiting);
    }

    private void releaseQueueSlot(RequestExecution execution, long tokens) {
        execution.queueSlot().ifPresent(slot -> {
            if (admission.queue().complete(slot.pool(), slot.id(), tokens, context.nowNanos())) {
                upstreams.recordEnd(slot.pool(), slot.rank());
            } else {
                admission.queue().cancel(slot.pool(), slot.id(), context.nowNanos());
            }
        });
    }

    private void completeDrainIfIdle() {
        if (drained != null && executions.isEmpty()) {
            drained.complete(null);
        }
    }
}
