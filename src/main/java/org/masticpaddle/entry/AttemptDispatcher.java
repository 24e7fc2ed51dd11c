package org.masticpaddle.entry;

import java.net.URI;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.masticpaddle.admission.RetryBudget;
import org.masticpaddle.document.ModelVersion;
import org.masticpaddle.routing.UpstreamRequest;
import org.masticpaddle.routing.UpstreamView;
import org.masticpaddle.wire.HttpRequestException;
import org.masticpaddle.wire.Dispatch;
import org.masticpaddle.wire.Frame;
import org.masticpaddle.wire.Json;
import org.masticpaddle.wire.LoadReport;
import org.masticpaddle.wire.RunState;

/**
 * Dispatches requests to sidecars and decides what follows a broken connection, a refusal or a failure.
 *
 * <p>Invariants: an attempt id is only ever sent to the sidecar that it was made for; a request that must not be
 * repeated gets a second attempt only after the first is proved not to have run; a request whose bytes have reached the
 * caller is continued by its own attempt or fails. All methods run on the entry's duty.
 */
final class AttemptDispatcher implements RequestScheduler.Dispatcher {
    private static final int MAX_TRIES = 4;
    // Sidecars that are full are found again within a round trip, so a request may meet several of them.
    private static final int MAX_REFUSALS = 8;
    private static final Set<String> VERSION_ERRORS = Set.of("engine_error", "answer_invalid");
    private static final String UNREACHABLE = "the upstream's sidecar cannot be reached";
    private static final int MAX_CONNECTIONS = 4;
    // A sidecar acknowledges a dispatch at once; without this the connection is taken for silent.
    private static final long ACCEPT_NANOS = 1_000_000_000L;
    private static final long SCAN_NANOS = 100_000_000L;

    private final EntryContext context;
    private final RequestScheduler requests;
    private final SidecarClient sidecars;
    private final Upstreams upstreams;
    private final ClaimCoordinator claims;
    private final AnswerProcessor answers;
    private final RetryBudget retries;
    private long nextScanNanos;

    AttemptDispatcher(
            EntryContext context,
            RequestScheduler requests,
            SidecarClient sidecars,
            Upstreams upstreams,
            ClaimCoordinator claims,
            AnswerProcessor answers,
            RetryBudget retries) {
        this.context = Objects.requireNonNull(context, "context is null");
        this.requests = Objects.requireNonNull(requests, "requests is null");
        this.sidecars = Objects.requireNonNull(sidecars, "sidecars is null");
        this.upstreams = Objects.requireNonNull(upstreams, "upstreams is null");
        this.claims = Objects.requireNonNull(claims, "claims is null");
        this.answers = Objects.requireNonNull(answers, "answers is null");
        this.retries = Objects.requireNonNull(retries, "retries is null");
    }

    @Override
    public void dispatch(RequestExecution run) {
        if (run.tries() == 0) {
            retries.recordFirstAttempt(context.nanos());
        }
        attempt(run);
    }

    @Override
    public void abandon(RequestExecution run) {
        final Optional<Attempt> call = run.attempt();
        if (call.isEmpty()) {
            return;
        }
        if (run.request().target().idempotent()) {
            sidecars.cancel(call.get().address(), call.get().dispatch().attemptId());
            call.get().closeConnection();
            ended(run, call.get(), false);
        }
        requests.fail(
                run,
                run.callerGone() || call.get().callerGone()
                        ? CallerError.failed(CallerError.Kind.CALLER_GONE, "the caller is gone", RunState.UNKNOWN)
                        : CallerError.failed(
                                CallerError.Kind.DEADLINE_EXCEEDED, "the answer did not come in time", RunState.UNKNOWN));
    }

    @Override
    public void confirm(RequestExecution run, CallerError refusal, Consumer<CallerError> corrected) {
        claims.confirm(run, refusal, corrected);
    }

    /** Finds connections that went silent before the dispatch was acknowledged. */
    void tick() {
        final long now = context.nanos();
        if (now < nextScanNanos) {
            return;
        }
        nextScanNanos = now + SCAN_NANOS;
        for (final RequestExecution run : requests.runs()) {
            run.attempt()
                    .filter(call -> !call.accepted() && call.last() == null)
                    .filter(call -> now - call.startedNanos() > ACCEPT_NANOS * call.connections())
                    .ifPresent(Attempt::closeConnection);
        }
    }

    private void attempt(RequestExecution run) {
        final Optional<UpstreamView> chosen = choose(run);
        if (chosen.isEmpty()) {
            requests.fail(run, CallerError.notRun(CallerError.Kind.NO_UPSTREAM, "no upstream is ready for this request"));
            return;
        }
        final UpstreamView upstream = chosen.get();
        if (claims.needed(run)) {
            claims.claim(
                    run,
                    upstream,
                    () -> send(run, upstream, run.claim().orElseThrow().attemptId()));
        } else {
            send(run, upstream, context.attemptIds().get());
        }
    }

    private Optional<UpstreamView> choose(RequestExecution run) {
        final UpstreamRequest wanted = new UpstreamRequest(
                run.routedVersion(),
                run.prefixes().of(run.routedVersion()),
                run.prefixes().prefillMillis(),
                run.firstTry());
        return upstreams.choose(run.pool(), wanted, context.millis(), context.random());
    }

    private void send(RequestExecution run, UpstreamView upstream, String attemptId) {
        final Optional<URI> address = upstreams.address(upstream.id());
        if (address.isEmpty()) {
            retryElsewhere(run, RunState.NOT_RUN, "the upstream has left", true);
            return;
        }
        final Responder target = run.drafting() ? new DraftResponder() : run.responder();
        final Attempt call =
                new Attempt(order(run, upstream, attemptId), upstream, address.get(), target, context.nanos());
        run.attempt(call);
        run.responder().restart();
        upstream.onDispatch(context.millis());
        upstreams
                .prefixes()
                .onDispatch(
                        upstream.id(), run.routedVersion(), run.prefixes().of(run.routedVersion()), context.millis());
        run.responder().header("Masticpaddle-Model", run.routedVersion().model());
        run.responder().header("Masticpaddle-Version", run.routedVersion().toString());
        run.responder().header("Masticpaddle-Attempt", attemptId);
        connect(run, call, run.key().isPresent());
    }

    private void connect(RequestExecution run, Attempt call, boolean fresh) {
        final Dispatch order = call.received() > 0 ? call.dispatch().resumedFrom(call.received()) : call.dispatch();
        call.connection(sidecars.dispatch(call.address(), order, fresh, frame -> {
            if (call.take(frame, context.nanos())) {
                context.loop().complete(() -> noticed(run, call, frame));
            }
            if (call.callerGone()) {
                call.closeConnection();
            }
        }));
        final int number = call.connections();
        call.handle()
                .finished()
                .whenComplete((ignored, error) -> context.loop().complete(() -> {
                    if (number == call.connections()) {
                        disconnected(run, call, error);
                    }
                }));
    }

    private void noticed(RequestExecution run, Attempt call, Frame frame) {
        final LoadReport load = frame instanceof Frame.Accepted accepted
                ? accepted.load()
                : frame instanceof Frame.End end ? end.load() : ((Frame.Failed) frame).load();
        upstreams.heard(run.pool(), call.upstream().id(), load, context.millis(), context.nanos());
    }

    private void disconnected(RequestExecution run, Attempt call, Throwable error) {
        if (run.attempt().filter(call::equals).isEmpty()) {
            return;
        }
        if (run.ended()) {
            answers.record(run, call);
            return;
        }
        if (call.whole()) {
            ended(run, call, true);
            answers.deliver(run, call, (Frame.End) call.last());
        } else if (call.last() instanceof Frame.Failed failed) {
            refused(run, call, failed);
        } else if (call.callerGone()) {
            abandon(run);
        } else {
            broken(run, call, error);
        }
    }

    private void broken(RequestExecution run, Attempt call, Throwable error) {
        final Throwable cause = error instanceof CompletionException ? error.getCause() : error;
        final boolean sent =
                !(cause instanceof HttpRequestException failure) || failure.delivery() == HttpRequestException.Delivery.POSSIBLY_SENT;
        if (sent) {
            call.markPossiblySent();
        }
        final boolean incomplete = call.last() != null;
        if (!incomplete && call.possiblySent() && call.connections() < MAX_CONNECTIONS) {
            connect(run, call, true);
            return;
        }
        final RunState state = call.possiblySent() ? RunState.UNKNOWN : RunState.NOT_RUN;
        if (sent) {
            ended(run, call, false);
            retryElsewhere(run, state, incomplete ? "the answer is not whole" : UNREACHABLE, true);
        } else {
            // A refused connection adds no load, so that it draws nothing from the retry budget.
            call.upstream().onUnreachable(context.millis());
            retryElsewhere(run, state, UNREACHABLE, false);
        }
    }

    private void refused(RequestExecution run, Attempt call, Frame.Failed failed) {
        final boolean load = failed.run() == RunState.NOT_RUN;
        ended(run, call, load);
        if (load) {
            upstreams.bound(run.pool()).recordRejection();
        }
        // Another incarnation cannot speak for the one that an earlier connection may have reached.
        final RunState state = call.connections() > 1 && load ? RunState.UNKNOWN : failed.run();
        if (state != RunState.NOT_RUN && !run.request().target().idempotent()) {
            requests.fail(run, CallerError.failed(CallerError.Kind.UPSTREAM_FAILED, failed.message(), RunState.UNKNOWN));
            return;
        }
        if (state == RunState.NOT_RUN && run.claim().isEmpty() && run.tries() < MAX_REFUSALS && inTime(run)) {
            run.firstTry(call.upstream());
            requests.requeue(run, 0);
            return;
        }
        run.version()
                .filter(version -> VERSION_ERRORS.contains(failed.reason()))
                .ifPresent(answers::versionFailed);
        retryElsewhere(run, state, failed.message(), true);
    }

    /** Tries another upstream if that is allowed, else fails the request. */
    private void retryElsewhere(RequestExecution run, RunState state, String message, boolean charged) {
        final boolean repeatable =
                state == RunState.NOT_RUN || run.request().target().idempotent();
        if (repeatable
                && inTime(run)
                && !run.responder().begun()
                && run.tries() < MAX_TRIES
                && (!charged || retries.tryRetry(context.nanos()))) {
            run.attempt().ifPresent(call -> run.firstTry(call.upstream()));
            claims.releaseUnsent(run, () -> attempt(run));
            return;
        }
        if (state == RunState.NOT_RUN) {
            claims.releaseUnsent(run, () -> {});
        }
        requests.fail(run, CallerError.failed(CallerError.Kind.UPSTREAM_FAILED, message, state));
    }

    private boolean inTime(RequestExecution run) {
        return context.nanos() < run.request().deadlineNanos();
    }

    private void ended(RequestExecution run, Attempt call, boolean success) {
        final double millis = (context.nanos() - call.startedNanos()) / 1e6;
        call.upstream().onEnd(success, millis, context.millis());
    }

    private Dispatch order(RequestExecution run, UpstreamView upstream, String attemptId) {
        final CallerRequest request = run.request();
        final Map<String, String> headers = new HashMap<>();
        final byte[] body;
        final String method;
        final String path;
        if (request.target() instanceof CallerRequest.Plain plain) {
            method = plain.method();
            path = plain.path();
            body = plain.body();
            if (!plain.contentType().isEmpty()) {
                headers.put("Content-Type", plain.contentType());
            }
            request.idempotencyKey().ifPresent(key -> headers.put("Idempotency-Key", key));
        } else {
            method = "POST";
            path = "/v1/chat/completions";
            body = engineBody(run, (CallerRequest.Chat) request.target());
            headers.put("Content-Type", "application/json");
        }
        final Optional<ModelVersion> version = run.version();
        return new Dispatch(
                request.id(),
                attemptId,
                run.claim()
                        .map(claim -> claim.incarnation())
                        .orElse(upstream.report().incarnation()),
                request.organisation().name(),
                request.rank(),
                version.map(chosen -> chosen.name().model()).orElse(""),
                version.map(chosen -> chosen.name().version()).orElse(""),
                method,
                path,
                headers,
                body,
                request.target().idempotent(),
                Math.max(1, request.remainingMillis(context.nanos())),
                0,
                run.drafting() ? request.billingIdentity() + "/draft" : request.billingIdentity(),
                answers.pricing(run),
                run.document().offset());
    }

    private static byte[] engineBody(RequestExecution run, CallerRequest.Chat chat) {
        final ObjectNode body = chat.body().deepCopy();
        body.put("model", run.routedVersion().toString());
        body.put("stream", true);
        body.putObject("stream_options").put("include_usage", true);
        return Json.encode(body);
    }
}
