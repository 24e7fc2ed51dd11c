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
import org.masticpaddle.wire.Hashing;
import org.masticpaddle.wire.Json;
import org.masticpaddle.wire.RunState;
import org.masticpaddle.wire.AttemptStatusQuery;
import org.masticpaddle.wire.AttemptStatusReply;

/**
 * Claims non-idempotent requests on the log, and settles those whose key is already claimed.
 *
 * <p>Invariants: a request with a key is dispatched only under a claim that was won; a claim that was won and is not
 * dispatched is released; a key whose attempt cannot be settled is never claimed again. All methods run on the entry's
 * duty.
 */
final class ClaimCoordinator {
    private static final int MAX_CLAIMS = 4;
    private static final long RELEASE_MILLIS = 5_000;

    private final EntryContext context;
    private final ClaimService claims;
    private final SidecarClient sidecars;
    private final Function<String, Optional<URI>> addresses;
    private final RequestScheduler requests;
    private final AnswerProcessor answers;

    ClaimCoordinator(
            EntryContext context,
            ClaimService claims,
            SidecarClient sidecars,
            Function<String, Optional<URI>> addresses,
            RequestScheduler requests,
            AnswerProcessor answers) {
        this.context = Objects.requireNonNull(context, "context is null");
        this.claims = Objects.requireNonNull(claims, "claims is null");
        this.sidecars = Objects.requireNonNull(sidecars, "sidecars is null");
        this.addresses = Objects.requireNonNull(addresses, "addresses is null");
        this.requests = Objects.requireNonNull(requests, "requests is null");
        this.answers = Objects.requireNonNull(answers, "answers is null");
    }

    /** Whether the request needs a claim before its dispatch. */
    boolean needed(RequestExecution run) {
        final boolean checkedByUpstream = run.request().target() instanceof CallerRequest.Plain plain
                && plain.service().checksIdempotencyKey();
        return run.key().isPresent() && !checkedByUpstream;
    }

    /** Claims the request's key for one sidecar and goes on once the claim is won. */
    void claim(RequestExecution run, UpstreamView upstream, Runnable won) {
        run.claiming(true);
        final ClaimRequest wanted = new ClaimRequest(
                run.key().orElseThrow(),
                bodyHash(run),
                upstream.id(),
                upstream.report().incarnation());
        claims.claim(wanted, deadlineMillis(run))
                .thenAccept(decision -> context.loop().complete(() -> decided(run, upstream, decision, won)));
    }

    /** Releases a claim that was won for an attempt that did not run, and goes on. */
    void releaseUnsent(RequestExecution run, Runnable next) {
        if (run.claim().isEmpty()) {
            next.run();
            return;
        }
        final ClaimRecord.Claim claim = run.claim().get();
        run.clearClaim();
        claims.release(claim, context.millis() + RELEASE_MILLIS)
                .thenAccept(done -> context.loop().complete(next));
    }

    /** Corrects a refusal that says "not run" by what the log knows of the request's key. */
    void confirm(RequestExecution run, CallerError refusal, Consumer<CallerError> corrected) {
        if (!needed(run) || refusal.run() != RunState.NOT_RUN || confirmed(refusal)) {
            corrected.accept(refusal);
            return;
        }
        claims.lookUp(new ClaimRequest(run.key().orElseThrow(), bodyHash(run), "", 0))
                .thenAccept(decision -> corrected.accept(
                        new CallerError(refusal.kind(), refusal.message(), known(decision), refusal.retryAfterMillis())));
    }

    private static boolean confirmed(CallerError refusal) {
        return refusal.kind() == CallerError.Kind.KEY_REUSED
                || refusal.kind() == CallerError.Kind.LOG_UNAVAILABLE
                || refusal.kind() == CallerError.Kind.INVALID_IDEMPOTENCY_KEY;
    }

    private static RunState known(ClaimDecision decision) {
        if (decision instanceof ClaimDecision.Stands stands) {
            return stands.outcome().isPresent() ? RunState.RAN : RunState.UNKNOWN;
        }
        return decision instanceof ClaimDecision.Unavailable unavailable ? unavailable.runState() : RunState.NOT_RUN;
    }

    private void decided(RequestExecution run, UpstreamView upstream, ClaimDecision decision, Runnable won) {
        run.claiming(false);
        if (decision instanceof ClaimDecision.Won victory) {
            run.claim(victory.claim());
            if (run.ended()) {
                releaseUnsent(run, () -> {});
            } else {
                won.run();
            }
        } else if (!run.ended()) {
            lost(run, upstream, decision, won);
        }
    }

    private void lost(RequestExecution run, UpstreamView upstream, ClaimDecision decision, Runnable won) {
        if (decision instanceof ClaimDecision.Stands stands) {
            if (stands.outcome().filter(ClaimRecord.Outcome::complete).isPresent()) {
                final ClaimRecord.Outcome outcome = stands.outcome().get();
                answers.replay(run, outcome.status(), outcome.answer());
            } else {
                settle(run, upstream, stands.claim(), won);
            }
        } else if (decision instanceof ClaimDecision.BodyDiffers) {
            // "run" covers the earlier call with the key, whose claim is on the log, so it cannot be "not run".
            requests.fail(
                    run,
                    CallerError.failed(
                            CallerError.Kind.KEY_REUSED,
                            "the idempotency key was used with another request; this one has not run",
                            RunState.UNKNOWN));
        } else if (decision instanceof ClaimDecision.KeyRefused refused) {
            requests.fail(
                    run,
                    CallerError.failed(
                            CallerError.Kind.INVALID_IDEMPOTENCY_KEY,
                            refused.reason().message(),
                            RunState.UNKNOWN));
        } else if (decision instanceof ClaimDecision.Unavailable unavailable) {
            requests.fail(
                    run,
                    CallerError.failed(
                            CallerError.Kind.LOG_UNAVAILABLE,
                            "the idempotency key could not be claimed in time; a retry with the same key is safe",
                            unavailable.runState()));
        }
    }

    private void settle(RequestExecution run, UpstreamView upstream, ClaimRecord.Claim claim, Runnable won) {
        final Optional<URI> address = addresses.apply(claim.sidecar());
        if (address.isEmpty() || run.countClaim() > MAX_CLAIMS) {
            unknown(run);
            return;
        }
        run.claiming(true);
        sidecars.settle(address.get(), new AttemptStatusQuery(claim.attemptId(), claim.incarnation()))
                .whenComplete((reply, error) -> context.loop().complete(() -> {
                    run.claiming(false);
                    if (!run.ended()) {
                        settled(run, upstream, claim, error == null ? Optional.of(reply) : Optional.empty(), won);
                    }
                }));
    }

    private void settled(
            RequestExecution run, UpstreamView upstream, ClaimRecord.Claim claim, Optional<AttemptStatusReply> reply, Runnable won) {
        if (reply.isEmpty()) {
            unknown(run);
            return;
        }
        switch (reply.get().state()) {
            case ANSWERED ->
                answers.replay(run, reply.get().status(), reply.get().answer());
            case RUNNING ->
                requests.fail(
                        run,
                        CallerError.failed(
                                CallerError.Kind.IN_PROGRESS,
                                "a request with this idempotency key is running",
                                RunState.UNKNOWN));
            case SEALED -> {
                run.claiming(true);
                claims.release(claim, deadlineMillis(run))
                        .thenAccept(released -> context.loop().complete(() -> {
                            run.claiming(false);
                            if (!run.ended()) {
                                claim(run, upstream, won);
                            }
                        }));
            }
            default -> unknown(run);
        }
    }

    private void unknown(RequestExecution run) {
        requests.fail(
                run,
                CallerError.failed(
                        CallerError.Kind.UPSTREAM_FAILED,
                        "an earlier request with this idempotency key may have run; its answer is not known",
                        RunState.UNKNOWN));
    }

    private long deadlineMillis(RequestExecution run) {
        return context.millis() + run.request().remainingMillis(context.nanos());
    }

    private static String bodyHash(RequestExecution run) {
        if (run.request().target() instanceof CallerRequest.Plain plain) {
            final byte[] head = (plain.method() + " " + plain.path() + "\n").getBytes(StandardCharsets.UTF_8);
            final byte[] all = Arrays.copyOf(head, head.length + plain.body().length);
            System.arraycopy(plain.body(), 0, all, head.length, plain.body().length);
            return Hashing.sha256(all);
        }
        return Hashing.sha256(Json.encode(((CallerRequest.Chat) run.request().target()).body()));
    }
}
