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
 * Takes a request from its arrival to the moment of its dispatch: limits, session, version, admission.queue().
 *
 * <p>Invariants: every request that begins ends exactly once, by an answer or a refusal; its place in the queue and its
 * count in the limits are given back at that moment. All methods run on the entry's duty.
 */
final class RequestScheduler {
    // Thousands of requests may wait in an overload; a look at each of them every tick would take the duty's time.
    private static final long SCAN_NANOS = 50_000_000L;

    private final EntryContext context;
    private final AdmissionControl admission;
    private final Supplier<Optional<EffectiveConfiguration>> documents;
    private final VersionSelector versions;
    private final VersionTracker knowledge;
    private final Upstreams upstreams;
    private final SessionBinder sessions;
    private final Map<Long, RequestExecution> runs = new HashMap<>();
    private Dispatcher dispatcher;
    private CompletableFuture<Void> drained;
    private long lastNumber;
    private long nextScanNanos;

    RequestScheduler(
            EntryContext context,
            Supplier<Optional<EffectiveConfiguration>> documents,
            AdmissionControl admission,
            VersionSelector versions,
            VersionTracker knowledge,
            Upstreams upstreams,
            SessionBinder sessions) {
        this.context = Objects.requireNonNull(context, "context is null");
        this.documents = Objects.requireNonNull(documents, "documents is null");
        this.admission = Objects.requireNonNull(admission, "admission is null");
        this.versions = Objects.requireNonNull(versions, "versions is null");
        this.knowledge = Objects.requireNonNull(knowledge, "knowledge is null");
        this.upstreams = Objects.requireNonNull(upstreams, "upstreams is null");
        this.sessions = Objects.requireNonNull(sessions, "sessions is null");
    }

    /** Starts attempts of requests that have left the admission.queue(). */
    interface Dispatcher {
        /** Dispatches the request, which ends by {@link RequestScheduler#finish} or returns by {@link RequestScheduler#requeue}. */
        void dispatch(RequestExecution run);

        /** Stops the attempt of a request that ends early, and fails the request. */
        void abandon(RequestExecution run);

        /** Passes a refusal on, corrected by what is known of earlier requests with the same key. */
        void confirm(RequestExecution run, CallerError refusal, Consumer<CallerError> corrected);
    }

    /** Sets the dispatcher; called once, before the first request. */
    void dispatcher(Dispatcher part) {
        dispatcher = Objects.requireNonNull(part, "dispatcher is null");
    }

    void begin(CallerRequest request, Responder responder) {
        final Optional<EffectiveConfiguration> document = documents.get();
        if (document.isEmpty() || drained != null) {
            responder.fail(CallerError.notRun(CallerError.Kind.NOT_READY, "this entry takes no requests now"));
            return;
        }
        final RequestExecution run = new RequestExecution(++lastNumber, request, responder, document.get());
        runs.put(run.number(), run);
        responder.header("Masticpaddle-Request", request.id());
        responder.onCallerGone(() -> context.loop().complete(() -> callerGone(run)));
        if (acceptsKey(run) && withinLimits(run)) {
            try {
                sessions.bind(run, () -> chooseVersion(run));
            } catch (CallerErrorException e) {
                fail(run, e.refusal());
            }
        }
    }

    /** Refuses or fails a request. */
    void fail(RequestExecution run, CallerError refusal) {
        if (run.ended()) {
            return;
        }
        close(run, 0);
        dispatcher.confirm(run, refusal, corrected -> run.responder().fail(corrected));
    }

    /** Ends a request whose answer was delivered. */
    void finish(RequestExecution run, long tokens) {
        if (!run.ended()) {
            close(run, tokens);
        }
    }

    /** Puts a request back into the queue, for example for the second step of a cascade. */
    void requeue(RequestExecution run, long tokensUsed) {
        giveBackPlace(run, tokensUsed);
        enqueue(run);
    }

    /** Starts the graceful shutdown. */
    CompletableFuture<Void> drain() {
        final CompletableFuture<Void> done = new CompletableFuture<>();
        context.loop().complete(() -> {
            drained = done;
            completeDrain();
        });
        return done;
    }

    int active() {
        return runs.size();
    }

    void tick() {
        final long now = context.nanos();
        admission
                .queue()
                .expire(now)
                .forEach(refusal -> fail(runs.get(refusal.request().id()), CallerErrorMapper.of(refusal)));
        if (now >= nextScanNanos) {
            nextScanNanos = now + SCAN_NANOS;
            for (final RequestExecution run : new ArrayList<>(runs.values())) {
                if (now >= run.request().deadlineNanos()) {
                    expire(run);
                }
            }
        }
        pump();
    }

    void pump() {
        final long now = context.nanos();
        Optional<WaitingRequest> next = admission.queue().dispatchNext(now, upstreams);
        while (next.isPresent()) {
            final RequestExecution run = runs.get(next.get().id());
            upstreams.dispatched(run.pool(), run.request().rank());
            dispatcher.dispatch(run);
            next = admission.queue().dispatchNext(now, upstreams);
        }
    }

    List<RequestExecution> runs() {
        return List.copyOf(runs.values());
    }

    private boolean acceptsKey(RequestExecution run) {
        final CallerRequest request = run.request();
        if (request.target().idempotent() || request.idempotencyKey().isEmpty()) {
            return true;
        }
        final KeyParseResult check = IdempotencyKey.parse(
                request.organisation().name(), request.idempotencyKey().get(), request.keyCreated());
        if (check instanceof KeyParseResult.Accepted accepted) {
            run.key(accepted.key());
            return true;
        }
        final KeyRejection reason = ((KeyParseResult.Rejected) check).reason();
        fail(run, CallerError.notRun(CallerError.Kind.INVALID_IDEMPOTENCY_KEY, reason.message()));
        return false;
    }

    private boolean withinLimits(RequestExecution run) {
        final LimitDecision decision = admission
                .limits()
                .admit(
                        run.request().organisation().name(),
                        run.request().organisation().limits(),
                        run.request().target().estimatedTokens(),
                        0,
                        context.nanos());
        if (decision instanceof LimitDecision.Exceeded exceeded) {
            fail(
                    run,
                    CallerError.notRun(
                            CallerError.Kind.LIMIT_REACHED,
                            "a limit of the organisation is reached: "
                                    + exceeded.reason().label(),
                            exceeded.retryAfterNanos() / 1_000_000 + 1));
            return false;
        }
        run.countedByLimits();
        return true;
    }

    private void chooseVersion(RequestExecution run) {
        if (run.ended()) {
            return;
        }
        if (!(run.request().target() instanceof CallerRequest.Chat chat)) {
            enqueue(run);
            return;
        }
        final VersionPlan plan =
                versions.choose(run.document().document(), versionRequest(run, chat), knowledge, context.random());
        if (plan instanceof VersionPlan.Refused refused) {
            fail(run, CallerErrorMapper.of(refused.reason()));
            return;
        }
        if (plan instanceof VersionPlan.Cascade cascade) {
            run.cascade(cascade);
        } else {
            run.version(((VersionPlan.Single) plan).version());
        }
        sessions.confirm(run, () -> enqueue(run));
    }

    private VersionPlan choose(RequestExecution run, VersionRequest wanted, VersionConditions conditions) {
        return versions.choose(run.document().document(), wanted, conditions, context.random());
    }

    private VersionRequest versionRequest(RequestExecution run, CallerRequest.Chat chat) {
        final CallerRequest request = run.request();
        return new VersionRequest(
                request.organisation(),
                request.kind(),
                ModelSelector.parse(chat.model()),
                request.quality(),
                chat.idempotent(),
                chat.promptTokens(),
                chat.maxTokens(),
                request.remainingMillis(context.nanos()),
                run.session().map(SessionBinding::session).or(request::session).orElse(request.id()),
                request.session().isPresent(),
                run.session().map(SessionBinding::version));
    }

    private void enqueue(RequestExecution run) {
        if (run.ended()) {
            return;
        }
        final long now = context.nanos();
        final CallerRequest request = run.request();
        final WaitingRequest place = new WaitingRequest(
                run.number(),
                request.organisation().name(),
                request.organisation().weight(),
                request.rank(),
                run.pool(),
                run.routedVersion().toString(),
                Math.max(1, request.target().estimatedTokens()),
                request.arrivalNanos(),
                request.deadlineNanos(),
                expectedRunNanos(run),
                false);
        final EnqueueResult offer = admission.queue().offer(place, now);
        if (offer instanceof EnqueueResult.Rejected refused) {
            fail(run, CallerErrorMapper.of(refused.rejection()));
            return;
        }
        run.waiting(place);
        ((EnqueueResult.Queued) offer)
                .displaced()
                .ifPresent(refusal -> fail(runs.get(refusal.request().id()), CallerErrorMapper.of(refusal)));
        pump();
    }

    private long expectedRunNanos(RequestExecution run) {
        if (run.request().target() instanceof CallerRequest.Chat chat) {
            // Of a stream, the first token has to come in time; any other answer has to be whole.
            final int tokens = chat.stream() ? 1 : chat.maxTokens();
            return (long) (knowledge.expectedMillis(run.routedVersion(), chat.promptTokens(), tokens) * 1_000_000);
        }
        return 0;
    }

    private void expire(RequestExecution run) {
        if (run.attempt().isPresent()) {
            dispatcher.abandon(run);
        } else if (!run.claiming()) {
            fail(run, CallerError.notRun(CallerError.Kind.DEADLINE_EXCEEDED, "the deadline passed before the dispatch"));
        }
    }

    private void callerGone(RequestExecution run) {
        if (run.ended()) {
            return;
        }
        run.markCallerGone();
        if (run.attempt().isPresent()) {
            dispatcher.abandon(run);
        } else {
            fail(run, CallerError.notRun(CallerError.Kind.CALLER_GONE, "the caller is gone"));
        }
    }

    private void close(RequestExecution run, long tokens) {
        run.end();
        runs.remove(run.number());
        giveBackPlace(run, tokens);
        if (run.limited()) {
            final long expected = run.request().target().estimatedTokens();
            admission.limits().release(run.request().organisation().name(), tokens - expected, 0, context.nanos());
        }
        completeDrain();
        context.loop().offer(this::pump);
    }

    private void giveBackPlace(RequestExecution run, long tokens) {
        run.waiting().ifPresent(place -> {
            if (admission.queue().complete(place.pool(), place.id(), tokens, context.nanos())) {
                upstreams.finished(place.pool(), place.rank());
            } else {
                admission.queue().cancel(place.pool(), place.id(), context.nanos());
            }
        });
    }

    private void completeDrain() {
        if (drained != null && runs.isEmpty()) {
            drained.complete(null);
        }
    }
}
