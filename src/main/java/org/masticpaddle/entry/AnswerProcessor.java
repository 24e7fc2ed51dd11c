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
 * Processes complete answers: delivers them, has drafts rated, publishes charges, records the outcomes of claims and
 * updates the statistics of the versions.
 *
 * <p>Invariants: a request is billed only for the answer that was delivered; a draft that is not delivered is charged
 * as an internal cost. All methods run on the entry's duty.
 */
final class AnswerProcessor {
    private static final long DRAFT_RATING_TIMEOUT_MILLIS = 500;
    private static final int MAX_RATINGS_IN_FLIGHT = 8;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final Map<String, String> REPLAYED_HEADERS = Map.of("content-type", "application/json");

    private final EntryContext context;
    private final AnswerRatings ratings;
    private final RequestScheduler scheduler;
    private final ChargePublisher chargePublisher;
    private final ClaimService claimService;
    private final VersionTracker versionTracker;
    private final Upstreams upstreams;
    private int ratingsInFlight;

    AnswerProcessor(
            EntryContext context,
            RequestScheduler scheduler,
            ChargePublisher chargePublisher,
            ClaimService claimService,
            AnswerRatings ratings,
            VersionTracker versionTracker,
            Upstreams upstreams) {
        this.context = Objects.requireNonNull(context, "context is null");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler is null");
        this.chargePublisher = Objects.requireNonNull(chargePublisher, "chargePublisher is null");
        this.claimService = Objects.requireNonNull(claimService, "claimService is null");
        this.ratings = Objects.requireNonNull(ratings, "ratings is null");
        this.versionTracker = Objects.requireNonNull(versionTracker, "versionTracker is null");
        this.upstreams = Objects.requireNonNull(upstreams, "upstreams is null");
    }

    /** Prices by which the sidecar computes the charge of the next attempt. */
    Dispatch.Pricing pricing(RequestExecution execution) {
        if (execution.request().target() instanceof CallerRequest.Plain plain) {
            return new Dispatch.Pricing(0, 0, plain.service().priceMicros(), false);
        }
        final ModelVersion version = execution.version().orElseThrow();
        return new Dispatch.Pricing(
                version.promptPriceMicros(), version.outputPriceMicros(), 0, execution.draftRunning());
    }

    /** Delivers a complete answer. A draft is rated first, and then delivered or escalated to the better version. */
    void deliver(RequestExecution execution, Attempt attempt, Frame.End end) {
        updateStatistics(execution, attempt, end);
        if (execution.draftRunning()) {
            rateDraft(execution, attempt, end);
        } else {
            complete(execution, attempt, end);
        }
    }

    /** Delivers the recorded answer of an earlier request with the same key, at no charge: it was billed then. */
    void replay(RequestExecution execution, int status, byte[] answer) {
        execution.responder().setHead(status, REPLAYED_HEADERS);
        execution.responder().setHeader("Masticpaddle-Replayed", "true");
        execution.responder().write(answer);
        final Charge noCharge = new Charge(
                execution.request().billingIdentity(),
                execution.request().organisation().name(),
                "",
                "",
                0,
                0,
                0,
                0,
                "");
        execution.responder().complete(new Frame.End("", answer.length, 0, "stop", noCharge, null));
        scheduler.complete(execution, 0);
    }

    /** Publishes the charge and the outcome of an answer that arrived after its request had ended. */
    void record(RequestExecution execution, Attempt attempt) {
        if (attempt.complete() && !execution.draftRunning()) {
            final Frame.End end = (Frame.End) attempt.lastFrame();
            chargePublisher.append(end.charge(), attempt.address());
            recordOutcome(execution, attempt);
        }
    }

    void recordVersionError(ModelVersion version) {
        versionTracker.recordEnd(version.name(), true, false);
    }

    private void complete(RequestExecution execution, Attempt attempt, Frame.End end) {
        execution.responder().complete(end);
        chargePublisher.append(end.charge(), attempt.address());
        recordOutcome(execution, attempt);
        scheduler.complete(execution, totalTokens(end));
    }

    private void recordOutcome(RequestExecution execution, Attempt attempt) {
        execution
                .claim()
                .ifPresent(claim ->
                        claimService.record(ClaimRecord.Outcome.of(claim, attempt.status(), attempt.answerPrefix())));
    }

    private void rateDraft(RequestExecution execution, Attempt attempt, Frame.End end) {
        final DraftResponder draft = (DraftResponder) attempt.responder();
        ratings.service()
                .rate(ratingRequest(execution, draft.text()))
                .orTimeout(DRAFT_RATING_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .whenComplete((rating, error) -> context.loop().execute(() -> {
                    versionTracker.setRatingAvailable(error == null);
                    if (!execution.ended()) {
                        onDraftRated(
                                execution,
                                attempt,
                                end,
                                error == null ? OptionalDouble.of(rating) : OptionalDouble.empty());
                    }
                }));
    }

    private void onDraftRated(RequestExecution execution, Attempt attempt, Frame.End end, OptionalDouble rating) {
        final VersionPlan.Cascade cascade = execution.cascade().orElseThrow();
        rating.ifPresent(score -> versionTracker.recordRating(
                cascade.draft().name(), execution.request().kind(), score));
        final CascadeDecision decision =
                CascadeDecision.of(cascade, rating, execution.request().remainingMillis(context.nowNanos()));
        versionTracker.recordDraftDecision(
                cascade.draft(), execution.request().kind(), decision == CascadeDecision.DELIVER);
        if (decision == CascadeDecision.ESCALATE) {
            chargePublisher.append(end.charge(), attempt.address());
            execution.setVersion(cascade.better());
            scheduler.requeue(execution, totalTokens(end));
            return;
        }
        execution.responder().write(((DraftResponder) attempt.responder()).bytes());
        complete(execution, attempt, toBilledEnd(execution, end));
    }

    /** Returns the end frame of a draft that is delivered, with its internal cost billed to the organisation. */
    private static Frame.End toBilledEnd(RequestExecution execution, Frame.End end) {
        final Charge draft = end.charge();
        final Charge charge = new Charge(
                execution.request().billingIdentity(),
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

    private void updateStatistics(RequestExecution execution, Attempt attempt, Frame.End end) {
        final long now = context.nowNanos();
        final long totalNanos = now - attempt.startedNanos();
        upstreams.concurrencyLimiter(execution.pool()).recordCompletion(totalNanos, Math.max(1, totalTokens(end)));
        if (execution.version().isEmpty()) {
            return;
        }
        final ModelVersion version = execution.version().get();
        final double firstTokenMillis = (attempt.firstByteNanos() - attempt.startedNanos()) / NANOS_PER_MILLI;
        final long firstTokenTargetMillis = execution
                .configuration()
                .document()
                .policy(execution.request().rank())
                .firstTokenMillis();
        // Outside a rollout, a late first token is caused by load more often than by the version.
        final boolean slow = firstTokenMillis > firstTokenTargetMillis
                && versionTracker.inRollout(execution.configuration().document(), version.name());
        versionTracker.recordEnd(version.name(), false, slow);
        versionTracker.recordLatency(
                version.name(),
                Math.max(0, firstTokenMillis),
                totalNanos / NANOS_PER_MILLI,
                end.charge().outputTokens());
        if (!execution.draftRunning()
                && ratingsInFlight < MAX_RATINGS_IN_FLIGHT
                && context.random().nextDouble() < ratings.sampledShare()) {
            sampleRating(execution, version, attempt);
        }
    }

    private void sampleRating(RequestExecution execution, ModelVersion version, Attempt attempt) {
        ratingsInFlight++;
        ratings.service()
                .rate(ratingRequest(execution, attempt.answerPrefixText()))
                .whenComplete((rating, error) -> context.loop().execute(() -> {
                    ratingsInFlight--;
                    versionTracker.setRatingAvailable(error == null);
                    if (error == null) {
                        versionTracker.recordRating(
                                version.name(), execution.request().kind(), rating);
                    }
                }));
    }

    private static RatingService.RatingRequest ratingRequest(RequestExecution execution, String text) {
        final CallerRequest.Chat chat = (CallerRequest.Chat) execution.request().target();
        return new RatingService.RatingRequest(
                execution.request().id(),
                execution.request().kind(),
                execution.routedVersion().toString(),
                chat.body().path("messages").toString(),
                text);
    }

    private static long totalTokens(Frame.End end) {
        return (long) end.charge().promptTokens() + end.charge().outputTokens();
    }
}
