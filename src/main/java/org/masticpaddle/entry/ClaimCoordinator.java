package org.masticpaddle.entry;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;

import org.masticpaddle.claim.ClaimDecision;
import org.masticpaddle.claim.ClaimRecord;
import org.masticpaddle.claim.ClaimRequest;
import org.masticpaddle.claim.ClaimService;
import org.masticpaddle.routing.UpstreamView;
import org.masticpaddle.wire.AttemptStatusQuery;
import org.masticpaddle.wire.AttemptStatusReply;
import org.masticpaddle.wire.Hashing;
import org.masticpaddle.wire.Json;
import org.masticpaddle.wire.RunState;

/**
 * Claims the idempotency keys of non-idempotent requests on the log, and resolves the status of the earlier attempt if
 * a key is already claimed.
 *
 * <p>Invariants: a request that requires a claim is dispatched only after it has won the claim; a claim that was won
 * but not used for a dispatch is released; a key is not claimed again while the status of its attempt is unknown. All
 * methods run on the entry's duty.
 */
final class ClaimCoordinator {
    private static final int MAX_STATUS_QUERIES = 4;
    private static final long RELEASE_TIMEOUT_MILLIS = 5_000;

    private final EntryContext context;
    private final ClaimService claimService;
    private final SidecarClient sidecarClient;
    private final Function<String, Optional<URI>> sidecarAddresses;
    private final RequestScheduler scheduler;
    private final AnswerProcessor answerProcessor;

    ClaimCoordinator(
            EntryContext context,
            ClaimService claimService,
            SidecarClient sidecarClient,
            Function<String, Optional<URI>> sidecarAddresses,
            RequestScheduler scheduler,
            AnswerProcessor answerProcessor) {
        this.context = Objects.requireNonNull(context, "context is null");
        this.claimService = Objects.requireNonNull(claimService, "claimService is null");
        this.sidecarClient = Objects.requireNonNull(sidecarClient, "sidecarClient is null");
        this.sidecarAddresses = Objects.requireNonNull(sidecarAddresses, "sidecarAddresses is null");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler is null");
        this.answerProcessor = Objects.requireNonNull(answerProcessor, "answerProcessor is null");
    }

    /**
     * Returns whether the request needs a claim before its dispatch: it has a key and its upstream does not check keys
     * itself.
     */
    boolean requiresClaim(RequestExecution execution) {
        final boolean checkedByUpstream = execution.request().target() instanceof CallerRequest.Plain plain
                && plain.service().checksIdempotencyKey();
        return execution.key().isPresent() && !checkedByUpstream;
    }

    /**
     * Claims the request's key for an attempt at one sidecar.
     *
     * @param onWon called once the claim is won; otherwise the request ends, with the answer of the earlier request or
     *     with an error
     */
    void claim(RequestExecution execution, UpstreamView upstream, Runnable onWon) {
        execution.setClaimPending(true);
        final ClaimRequest request = new ClaimRequest(
                execution.key().orElseThrow(),
                bodyHash(execution),
                upstream.id(),
                upstream.report().incarnation());
        claimService
                .claim(request, deadlineMillis(execution))
                .thenAccept(decision -> context.loop().execute(() -> onDecision(execution, upstream, decision, onWon)));
    }

    /** Releases the claim of an attempt that did not run, if there is one, then calls the next action. */
    void releaseUnsent(RequestExecution execution, Runnable next) {
        if (execution.claim().isEmpty()) {
            next.run();
            return;
        }
        final ClaimRecord.Claim claim = execution.claim().get();
        execution.clearClaim();
        claimService
                .release(claim, context.nowMillis() + RELEASE_TIMEOUT_MILLIS)
                .thenAccept(done -> context.loop().execute(next));
    }

    /** Replaces the run state {@code not_run} of an error by the one that the log records for the request's key. */
    void correctRunState(RequestExecution execution, CallerError error, Consumer<CallerError> corrected) {
        if (!requiresClaim(execution) || error.run() != RunState.NOT_RUN || hasFinalRunState(error)) {
            corrected.accept(error);
            return;
        }
        claimService
                .lookUp(new ClaimRequest(execution.key().orElseThrow(), bodyHash(execution), "", 0))
                .thenAccept(decision -> corrected.accept(new CallerError(
                        error.kind(), error.message(), runStateOf(decision), error.retryAfterMillis())));
    }

    private static boolean hasFinalRunState(CallerError error) {
        return error.kind() == CallerError.Kind.KEY_REUSED
                || error.kind() == CallerError.Kind.LOG_UNAVAILABLE
                || error.kind() == CallerError.Kind.INVALID_IDEMPOTENCY_KEY;
    }

    private static RunState runStateOf(ClaimDecision decision) {
        if (decision instanceof ClaimDecision.Stands held) {
            return held.outcome().isPresent() ? RunState.RAN : RunState.UNKNOWN;
        }
        return decision instanceof ClaimDecision.Unavailable unavailable ? unavailable.runState() : RunState.NOT_RUN;
    }

    private void onDecision(RequestExecution execution, UpstreamView upstream, ClaimDecision decision, Runnable onWon) {
        execution.setClaimPending(false);
        if (decision instanceof ClaimDecision.Won won) {
            execution.setClaim(won.claim());
            if (execution.ended()) {
                releaseUnsent(execution, () -> {});
            } else {
                onWon.run();
            }
        } else if (!execution.ended()) {
            onClaimNotWon(execution, upstream, decision, onWon);
        }
    }

    private void onClaimNotWon(
            RequestExecution execution, UpstreamView upstream, ClaimDecision decision, Runnable onWon) {
        if (decision instanceof ClaimDecision.Stands held) {
            if (held.outcome().filter(ClaimRecord.Outcome::complete).isPresent()) {
                final ClaimRecord.Outcome outcome = held.outcome().get();
                answerProcessor.replay(execution, outcome.status(), outcome.answer());
            } else {
                resolveAttempt(execution, upstream, held.claim(), onWon);
            }
        } else if (decision instanceof ClaimDecision.BodyDiffers) {
            // The field "run" covers the earlier request with the key as well, whose claim is on the log: "not_run"
            // would be wrong.
            scheduler.fail(
                    execution,
                    CallerError.failed(
                            CallerError.Kind.KEY_REUSED,
                            "the idempotency key was used with another request; this one has not run",
                            RunState.UNKNOWN));
        } else if (decision instanceof ClaimDecision.KeyRefused rejected) {
            scheduler.fail(
                    execution,
                    CallerError.failed(
                            CallerError.Kind.INVALID_IDEMPOTENCY_KEY,
                            rejected.reason().message(),
                            RunState.UNKNOWN));
        } else if (decision instanceof ClaimDecision.Unavailable unavailable) {
            scheduler.fail(
                    execution,
                    CallerError.failed(
                            CallerError.Kind.LOG_UNAVAILABLE,
                            "the idempotency key could not be claimed in time; a retry with the same key is safe",
                            unavailable.runState()));
        }
    }

    private void resolveAttempt(
            RequestExecution execution, UpstreamView upstream, ClaimRecord.Claim claim, Runnable onWon) {
        final Optional<URI> address = sidecarAddresses.apply(claim.sidecar());
        if (address.isEmpty() || execution.countStatusQuery() > MAX_STATUS_QUERIES) {
            failAsUnknown(execution);
            return;
        }
        execution.setClaimPending(true);
        sidecarClient
                .resolveAttempt(address.get(), new AttemptStatusQuery(claim.attemptId(), claim.incarnation()))
                .whenComplete((reply, error) -> context.loop().execute(() -> {
                    execution.setClaimPending(false);
                    if (!execution.ended()) {
                        onAttemptStatus(
                                execution,
                                upstream,
                                claim,
                                error == null ? Optional.of(reply) : Optional.empty(),
                                onWon);
                    }
                }));
    }

    private void onAttemptStatus(
            RequestExecution execution,
            UpstreamView upstream,
            ClaimRecord.Claim claim,
            Optional<AttemptStatusReply> reply,
            Runnable onWon) {
        if (reply.isEmpty()) {
            failAsUnknown(execution);
            return;
        }
        switch (reply.get().state()) {
            case ANSWERED ->
                answerProcessor.replay(
                        execution, reply.get().status(), reply.get().answer());
            case RUNNING ->
                scheduler.fail(
                        execution,
                        CallerError.failed(
                                CallerError.Kind.IN_PROGRESS,
                                "a request with this idempotency key is running",
                                RunState.UNKNOWN));
            case SEALED -> {
                execution.setClaimPending(true);
                claimService
                        .release(claim, deadlineMillis(execution))
                        .thenAccept(released -> context.loop().execute(() -> {
                            execution.setClaimPending(false);
                            if (!execution.ended()) {
                                claim(execution, upstream, onWon);
                            }
                        }));
            }
            default -> failAsUnknown(execution);
        }
    }

    private void failAsUnknown(RequestExecution execution) {
        scheduler.fail(
                execution,
                CallerError.failed(
                        CallerError.Kind.UPSTREAM_FAILED,
                        "an earlier request with this idempotency key may have run; its answer is not known",
                        RunState.UNKNOWN));
    }

    private long deadlineMillis(RequestExecution execution) {
        return context.nowMillis() + execution.request().remainingMillis(context.nowNanos());
    }

    private static String bodyHash(RequestExecution execution) {
        if (execution.request().target() instanceof CallerRequest.Plain plain) {
            final byte[] prefix = (plain.method() + " " + plain.path() + "\n").getBytes(StandardCharsets.UTF_8);
            final byte[] content = Arrays.copyOf(prefix, prefix.length + plain.body().length);
            System.arraycopy(plain.body(), 0, content, prefix.length, plain.body().length);
            return Hashing.sha256(content);
        }
        return Hashing.sha256(
                Json.encode(((CallerRequest.Chat) execution.request().target()).body()));
    }
}
