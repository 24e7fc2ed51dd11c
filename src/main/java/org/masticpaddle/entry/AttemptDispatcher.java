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
import org.masticpaddle.wire.Dispatch;
import org.masticpaddle.wire.Frame;
import org.masticpaddle.wire.HttpRequestException;
import org.masticpaddle.wire.Json;
import org.masticpaddle.wire.LoadReport;
import org.masticpaddle.wire.RunState;

/**
 * Dispatches requests to sidecars, and reconnects, retries or fails after a broken connection, a rejection or an error.
 *
 * <p>Invariants: an attempt id is sent only to the sidecar for which it was generated; a non-idempotent request is
 * retried only after its previous attempt is proved not to have run; once bytes have reached the caller, only the same
 * attempt may continue the answer, else the request fails. All methods run on the entry's duty.
 */
final class AttemptDispatcher implements RequestScheduler.Dispatcher {
    private static final int MAX_ATTEMPTS = 4;
    // A rejection by a full sidecar costs only a round trip, so several of them in a row are tolerated.
    private static final int MAX_ATTEMPTS_AFTER_REJECTIONS = 8;
    private static final Set<String> VERSION_ERROR_REASONS = Set.of("engine_error", "answer_invalid");
    private static final String UNREACHABLE_MESSAGE = "the upstream's sidecar cannot be reached";
    private static final int MAX_CONNECTIONS_PER_ATTEMPT = 4;
    // A sidecar acknowledges a dispatch immediately; a connection without an acknowledgement by then counts as stalled.
    private static final long ACCEPT_TIMEOUT_NANOS = 1_000_000_000L;
    private static final long SCAN_INTERVAL_NANOS = 100_000_000L;

    private final EntryContext context;
    private final RequestScheduler scheduler;
    private final SidecarClient sidecarClient;
    private final Upstreams upstreams;
    private final ClaimCoordinator claimCoordinator;
    private final AnswerProcessor answerProcessor;
    private final RetryBudget retryBudget;
    private long nextScanNanos;

    AttemptDispatcher(
            EntryContext context,
            RequestScheduler scheduler,
            SidecarClient sidecarClient,
            Upstreams upstreams,
            ClaimCoordinator claimCoordinator,
            AnswerProcessor answerProcessor,
            RetryBudget retryBudget) {
        this.context = Objects.requireNonNull(context, "context is null");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler is null");
        this.sidecarClient = Objects.requireNonNull(sidecarClient, "sidecarClient is null");
        this.upstreams = Objects.requireNonNull(upstreams, "upstreams is null");
        this.claimCoordinator = Objects.requireNonNull(claimCoordinator, "claimCoordinator is null");
        this.answerProcessor = Objects.requireNonNull(answerProcessor, "answerProcessor is null");
        this.retryBudget = Objects.requireNonNull(retryBudget, "retryBudget is null");
    }

    @Override
    public void dispatch(RequestExecution execution) {
        if (execution.attemptCount() == 0) {
            retryBudget.recordFirstAttempt(context.nowNanos());
        }
        startAttempt(execution);
    }

    @Override
    public void abandon(RequestExecution execution) {
        final Optional<Attempt> attempt = execution.attempt();
        if (attempt.isEmpty()) {
            return;
        }
        if (execution.request().target().idempotent()) {
            sidecarClient.cancel(
                    attempt.get().address(), attempt.get().dispatch().attemptId());
            attempt.get().closeConnection();
            recordAttemptEnd(execution, attempt.get(), false);
        }
        scheduler.fail(
                execution,
                execution.callerDisconnected() || attempt.get().callerDisconnected()
                        ? CallerError.failed(CallerError.Kind.CALLER_GONE, "the caller is gone", RunState.UNKNOWN)
                        : CallerError.failed(
                                CallerError.Kind.DEADLINE_EXCEEDED,
                                "the answer did not come in time",
                                RunState.UNKNOWN));
    }

    @Override
    public void correctRunState(RequestExecution execution, CallerError error, Consumer<CallerError> corrected) {
        claimCoordinator.correctRunState(execution, error, corrected);
    }

    /** Closes connections on which a dispatch was not acknowledged in time, so that the attempt reconnects. */
    void tick() {
        final long now = context.nowNanos();
        if (now < nextScanNanos) {
            return;
        }
        nextScanNanos = now + SCAN_INTERVAL_NANOS;
        for (final RequestExecution execution : scheduler.executions()) {
            execution
                    .attempt()
                    .filter(attempt -> !attempt.accepted() && attempt.lastFrame() == null)
                    .filter(attempt -> now - attempt.startedNanos() > ACCEPT_TIMEOUT_NANOS * attempt.connectionCount())
                    .ifPresent(Attempt::closeConnection);
        }
    }

    private void startAttempt(RequestExecution execution) {
        final Optional<UpstreamView> chosen = chooseUpstream(execution);
        if (chosen.isEmpty()) {
            scheduler.fail(
                    execution,
                    CallerError.notRun(CallerError.Kind.NO_UPSTREAM, "no upstream is ready for this request"));
            return;
        }
        final UpstreamView upstream = chosen.get();
        if (claimCoordinator.requiresClaim(execution)) {
            claimCoordinator.claim(
                    execution,
                    upstream,
                    () -> send(
                            execution, upstream, execution.claim().orElseThrow().attemptId()));
        } else {
            send(execution, upstream, context.attemptIds().get());
        }
    }

    private Optional<UpstreamView> chooseUpstream(RequestExecution execution) {
        final UpstreamRequest request = new UpstreamRequest(
                execution.routedVersion(),
                execution.prefixes().hashes(execution.routedVersion()),
                execution.prefixes().prefillMillis(),
                execution.previousUpstream());
        return upstreams.choose(execution.pool(), request, context.nowMillis(), context.random());
    }

    private void send(RequestExecution execution, UpstreamView upstream, String attemptId) {
        final Optional<URI> address = upstreams.address(upstream.id());
        if (address.isEmpty()) {
            retryElsewhere(execution, RunState.NOT_RUN, "the upstream has left", true);
            return;
        }
        final Responder responder = execution.draftRunning() ? new DraftResponder() : execution.responder();
        final Attempt attempt = new Attempt(
                buildDispatch(execution, upstream, attemptId), upstream, address.get(), responder, context.nowNanos());
        execution.addAttempt(attempt);
        execution.responder().reset();
        upstream.onDispatch(context.nowMillis());
        upstreams
                .prefixes()
                .onDispatch(
                        upstream.id(),
                        execution.routedVersion(),
                        execution.prefixes().hashes(execution.routedVersion()),
                        context.nowMillis());
        execution
                .responder()
                .setHeader("Masticpaddle-Model", execution.routedVersion().model());
        execution
                .responder()
                .setHeader("Masticpaddle-Version", execution.routedVersion().toString());
        execution.responder().setHeader("Masticpaddle-Attempt", attemptId);
        connect(execution, attempt, execution.key().isPresent());
    }

    private void connect(RequestExecution execution, Attempt attempt, boolean newConnection) {
        final Dispatch dispatch = attempt.receivedBytes() > 0
                ? attempt.dispatch().resumedFrom(attempt.receivedBytes())
                : attempt.dispatch();
        attempt.addConnection(sidecarClient.dispatch(attempt.address(), dispatch, newConnection, frame -> {
            if (attempt.accept(frame, context.nowNanos())) {
                context.loop().execute(() -> recordLoad(execution, attempt, frame));
            }
            if (attempt.callerDisconnected()) {
                attempt.closeConnection();
            }
        }));
        final int connectionNumber = attempt.connectionCount();
        attempt.connection()
                .finished()
                .whenComplete((ignored, error) -> context.loop().execute(() -> {
                    if (connectionNumber == attempt.connectionCount()) {
                        onConnectionEnd(execution, attempt, error);
                    }
                }));
    }

    private void recordLoad(RequestExecution execution, Attempt attempt, Frame frame) {
        final LoadReport load = frame instanceof Frame.Accepted accepted
                ? accepted.load()
                : frame instanceof Frame.End end ? end.load() : ((Frame.Failed) frame).load();
        upstreams.recordTrafficReport(
                execution.pool(), attempt.upstream().id(), load, context.nowMillis(), context.nowNanos());
    }

    private void onConnectionEnd(RequestExecution execution, Attempt attempt, Throwable error) {
        if (execution.attempt().filter(attempt::equals).isEmpty()) {
            return;
        }
        if (execution.ended()) {
            answerProcessor.record(execution, attempt);
            return;
        }
        if (attempt.complete()) {
            recordAttemptEnd(execution, attempt, true);
            answerProcessor.deliver(execution, attempt, (Frame.End) attempt.lastFrame());
        } else if (attempt.lastFrame() instanceof Frame.Failed failed) {
            onFailedFrame(execution, attempt, failed);
        } else if (attempt.callerDisconnected()) {
            abandon(execution);
        } else {
            onIncompleteAnswer(execution, attempt, error);
        }
    }

    private void onIncompleteAnswer(RequestExecution execution, Attempt attempt, Throwable error) {
        final Throwable cause = error instanceof CompletionException ? error.getCause() : error;
        final boolean sent = !(cause instanceof HttpRequestException failure)
                || failure.delivery() == HttpRequestException.Delivery.POSSIBLY_SENT;
        if (sent) {
            attempt.markPossiblySent();
        }
        final boolean incomplete = attempt.lastFrame() != null;
        if (!incomplete && attempt.possiblySent() && attempt.connectionCount() < MAX_CONNECTIONS_PER_ATTEMPT) {
            connect(execution, attempt, true);
            return;
        }
        final RunState state = attempt.possiblySent() ? RunState.UNKNOWN : RunState.NOT_RUN;
        recordRunState(execution, state);
        if (sent) {
            recordAttemptEnd(execution, attempt, false);
            retryElsewhere(execution, state, incomplete ? "the answer is not whole" : UNREACHABLE_MESSAGE, true);
        } else {
            // A refused connection causes no load, so the retry is not charged to the retry budget.
            attempt.upstream().onUnreachable(context.nowMillis());
            retryElsewhere(execution, state, UNREACHABLE_MESSAGE, false);
        }
    }

    private void onFailedFrame(RequestExecution execution, Attempt attempt, Frame.Failed failed) {
        final boolean rejected = failed.run() == RunState.NOT_RUN;
        recordAttemptEnd(execution, attempt, rejected);
        if (rejected) {
            upstreams.concurrencyLimiter(execution.pool()).recordRejection();
        }
        // The sidecar may have restarted between two connections: its new incarnation has no record of whether the
        // attempt ran in the earlier one.
        final RunState state = attempt.connectionCount() > 1 && rejected ? RunState.UNKNOWN : failed.run();
        recordRunState(execution, state);
        if (state != RunState.NOT_RUN && !execution.request().target().idempotent()) {
            scheduler.fail(
                    execution,
                    CallerError.failed(CallerError.Kind.UPSTREAM_FAILED, failed.message(), RunState.UNKNOWN));
            return;
        }
        if (state == RunState.NOT_RUN
                && execution.claim().isEmpty()
                && execution.attemptCount() < MAX_ATTEMPTS_AFTER_REJECTIONS
                && beforeDeadline(execution)) {
            execution.setPreviousUpstream(attempt.upstream());
            scheduler.requeue(execution, 0);
            return;
        }
        execution
                .version()
                .filter(version -> VERSION_ERROR_REASONS.contains(failed.reason()))
                .ifPresent(answerProcessor::recordVersionError);
        retryElsewhere(execution, state, failed.message(), true);
    }

    /**
     * Retries on another upstream if the run state, the deadline and the retry budget allow it, else fails the request.
     *
     * @param state whether the previous attempt ran
     * @param message error message for the caller
     * @param chargeBudget whether the retry is charged to the retry budget
     */
    private void retryElsewhere(RequestExecution execution, RunState state, String message, boolean chargeBudget) {
        final boolean retryable =
                state == RunState.NOT_RUN || execution.request().target().idempotent();
        if (retryable
                && beforeDeadline(execution)
                && !execution.responder().started()
                && execution.attemptCount() < MAX_ATTEMPTS
                && (!chargeBudget || retryBudget.tryRetry(context.nowNanos()))) {
            execution.attempt().ifPresent(attempt -> execution.setPreviousUpstream(attempt.upstream()));
            claimCoordinator.releaseUnsent(execution, () -> startAttempt(execution));
            return;
        }
        if (state == RunState.NOT_RUN) {
            claimCoordinator.releaseUnsent(execution, () -> {});
        }
        scheduler.fail(execution, CallerError.failed(CallerError.Kind.UPSTREAM_FAILED, message, state));
    }

    private static void recordRunState(RequestExecution execution, RunState state) {
        if (state == RunState.NOT_RUN) {
            execution.markAttemptNotRun();
        }
    }

    private boolean beforeDeadline(RequestExecution execution) {
        return context.nowNanos() < execution.request().deadlineNanos();
    }

    private void recordAttemptEnd(RequestExecution execution, Attempt attempt, boolean success) {
        final double millis = (context.nowNanos() - attempt.startedNanos()) / 1e6;
        attempt.upstream().onEnd(success, millis, context.nowMillis());
    }

    private Dispatch buildDispatch(RequestExecution execution, UpstreamView upstream, String attemptId) {
        final CallerRequest request = execution.request();
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
            body = engineBody(execution, (CallerRequest.Chat) request.target());
            headers.put("Content-Type", "application/json");
        }
        final Optional<ModelVersion> version = execution.version();
        return new Dispatch(
                request.id(),
                attemptId,
                execution
                        .claim()
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
                Math.max(1, request.remainingMillis(context.nowNanos())),
                0,
                execution.draftRunning() ? request.billingIdentity() + "/draft" : request.billingIdentity(),
                answerProcessor.pricing(execution),
                execution.configuration().offset());
    }

    private static byte[] engineBody(RequestExecution execution, CallerRequest.Chat chat) {
        final ObjectNode body = chat.body().deepCopy();
        body.put("model", execution.routedVersion().toString());
        body.put("stream", true);
        body.putObject("stream_options").put("include_usage", true);
        return Json.encode(body);
    }
}
