package org.masticpaddle.entry;

import java.util.Map;
import java.util.Objects;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;

import org.masticpaddle.claim.ClaimRecord;
import org.masticpaddle.claim.ClaimService;
import org.masticpaddle.document.ModelVersion;
import org.masticpaddle.platform.RatingService;
import org.masticpaddle.routing.CascadeDecision;
import org.masticpaddle.routing.VersionPlan;
import org.masticpaddle.wire.Charge;
import org.masticpaddle.wire.Dispatch;
import org.masticpaddle.wire.Frame;

/**
 * Completes answers: delivers, judges drafts, bills, records outcomes and learns.
 *
 * <p>Invariants: a request is billed for the one answer that it received; a draft that is not delivered is an internal
 * cost. All methods run on the entry's duty.
 */
final class AnswerProcessor {
    private static final long JUDGE_TIMEOUT_MILLIS = 500;
    private static final int MAX_RATINGS_IN_FLIGHT = 8;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final Map<String, String> REPLAYED_HEADERS = Map.of("content-type", "application/json");

    private final EntryContext context;
    private final AnswerRatings ratings;
    private final RequestScheduler requests;
    private final ChargePublisher charges;
    private final ClaimService claims;
    private final VersionTracker knowledge;
    private final Upstreams upstreams;
    private int ratingsInFlight;

    AnswerProcessor(
            EntryContext context,
            RequestScheduler requests,
            ChargePublisher charges,
            ClaimService claims,
            AnswerRatings ratings,
            VersionTracker knowledge,
            Upstreams upstreams) {
        this.context = Objects.requireNonNull(context, "context is null");
        this.requests = Objects.requireNonNull(requests, "requests is null");
        this.charges = Objects.requireNonNull(charges, "charges is null");
        this.claims = Objects.requireNonNull(claims, "claims is null");
        this.ratings = Objects.requireNonNull(ratings, "ratings is null");
        this.knowledge = Objects.requireNonNull(knowledge, "knowledge is null");
        this.upstreams = Objects.requireNonNull(upstreams, "upstreams is null");
    }

    Dispatch.Pricing pricing(RequestExecution run) {
        if (run.request().target() instanceof CallerRequest.Plain plain) {
            return new Dispatch.Pricing(0, 0, plain.service().priceMicros(), false);
        }
        final ModelVersion version = run.version().orElseThrow();
        return new Dispatch.Pricing(version.promptPriceMicros(), version.outputPriceMicros(), 0, run.drafting());
    }

    /** Delivers a whole answer, or judges it first if it is a draft. */
    void deliver(RequestExecution run, Attempt call, Frame.End end) {
        learn(run, call, end);
        if (run.drafting()) {
            judge(run, call, end);
        } else {
            complete(run, call, end);
        }
    }

    /** Delivers the recorded answer of an earlier request with the same key. It was billed then. */
    void replay(RequestExecution run, int status, byte[] answer) {
        run.responder().head(status, REPLAYED_HEADERS);
        run.responder().header("Masticpaddle-Replayed", "true");
        run.responder().bytes(answer);
        final Charge none = new Charge(
                run.request().billingIdentity(), run.request().organisation().name(), "", "", 0, 0, 0, 0, "");
        run.responder().complete(new Frame.End("", answer.length, 0, "stop", none, null));
        requests.finish(run, 0);
    }

    /** Records the answer of a request whose caller waits no longer. */
    void record(RequestExecution run, Attempt call) {
        if (call.whole() && !run.drafting()) {
            final Frame.End end = (Frame.End) call.last();
            charges.append(end.charge(), call.address());
            recordOutcome(run, call);
        }
    }

    void versionFailed(ModelVersion version) {
        knowledge.ended(version.name(), true, false);
    }

    private void complete(RequestExecution run, Attempt call, Frame.End end) {
        run.responder().complete(end);
        charges.append(end.charge(), call.address());
        recordOutcome(run, call);
        requests.finish(run, tokens(end));
    }

    private void recordOutcome(RequestExecution run, Attempt call) {
        run.claim().ifPresent(claim -> claims.record(ClaimRecord.Outcome.of(claim, call.status(), call.answer())));
    }

    private void judge(RequestExecution run, Attempt call, Frame.End end) {
        final DraftResponder draft = (DraftResponder) call.target();
        ratings.service()
                .rate(request(run, draft.text()))
                .orTimeout(JUDGE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .whenComplete((rating, error) -> context.loop().complete(() -> {
                    knowledge.ratingAvailable(error == null);
                    if (!run.ended()) {
                        judged(run, call, end, error == null ? OptionalDouble.of(rating) : OptionalDouble.empty());
                    }
                }));
    }

    private void judged(RequestExecution run, Attempt call, Frame.End end, OptionalDouble rating) {
        final VersionPlan.Cascade plan = run.cascade().orElseThrow();
        rating.ifPresent(
                score -> knowledge.rated(plan.draft().name(), run.request().kind(), score));
        final CascadeDecision decision =
                CascadeDecision.of(plan, rating, run.request().remainingMillis(context.nanos()));
        knowledge.judged(plan.draft(), run.request().kind(), decision == CascadeDecision.DELIVER);
        if (decision == CascadeDecision.ESCALATE) {
            charges.append(end.charge(), call.address());
            run.version(plan.better());
            requests.requeue(run, tokens(end));
            return;
        }
        run.responder().bytes(((DraftResponder) call.target()).bytes());
        complete(run, call, billed(run, end));
    }

    /** Turns the end of a draft that is delivered after all into one that is billed. */
    private static Frame.End billed(RequestExecution run, Frame.End end) {
        final Charge draft = end.charge();
        final Charge charge = new Charge(
                run.request().billingIdentity(),
                draft.organisation(),
                draft.model(),
                draft.version(),
                draft.promptTokens(),
                draft.outputTokens(),
                draft.internalMicros(),
                0,
                draft.attemptId());
        return new Frame.End(end.attemptId(), end.length(), end.hash(), end.finishReason(), charge, end.load());
    }

    private void learn(RequestExecution run, Attempt call, Frame.End end) {
        final long now = context.nanos();
        final long nanos = now - call.startedNanos();
        upstreams.bound(run.pool()).recordCompletion(nanos, Math.max(1, tokens(end)));
        if (run.version().isEmpty()) {
            return;
        }
        final ModelVersion version = run.version().get();
        final double firstMillis = (call.firstByteNanos() - call.startedNanos()) / NANOS_PER_MILLI;
        final long target =
                run.document().document().policy(run.request().rank()).firstTokenMillis();
        // Outside a roll-out a late token says more about the load than about the version.
        final boolean slow =
                firstMillis > target && knowledge.inRollout(run.document().document(), version.name());
        knowledge.ended(version.name(), false, slow);
        knowledge.latency(
                version.name(),
                Math.max(0, firstMillis),
                nanos / NANOS_PER_MILLI,
                end.charge().outputTokens());
        if (!run.drafting()
                && ratingsInFlight < MAX_RATINGS_IN_FLIGHT
                && context.random().nextDouble() < ratings.sampledShare()) {
            sampleRating(run, version, call);
        }
    }

    private void sampleRating(RequestExecution run, ModelVersion version, Attempt call) {
        ratingsInFlight++;
        ratings.service()
                .rate(request(run, call.text()))
                .whenComplete((rating, error) -> context.loop().complete(() -> {
                    ratingsInFlight--;
                    knowledge.ratingAvailable(error == null);
                    if (error == null) {
                        knowledge.rated(version.name(), run.request().kind(), rating);
                    }
                }));
    }

    private static RatingService.RatingRequest request(RequestExecution run, String text) {
        final CallerRequest.Chat chat = (CallerRequest.Chat) run.request().target();
        return new RatingService.RatingRequest(
                run.request().id(),
                run.request().kind(),
                run.routedVersion().toString(),
                chat.body().path("messages").toString(),
                text);
    }

    private static long tokens(Frame.End end) {
        return (long) end.charge().promptTokens() + end.charge().outputTokens();
    }
}
