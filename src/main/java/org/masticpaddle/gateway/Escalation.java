package org.masticpaddle.gateway;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;

import org.masticpaddle.routing.DraftDecision;
import org.masticpaddle.routing.ModelCascade;
import org.masticpaddle.routing.ServiceTimes;
import org.masticpaddle.routing.UpstreamPlacement;

/** Decides for one request whether a draft is dropped for the answer of a larger model. Used on the event loop only. */
final class Escalation {
    /** Time before the deadline in which an answer that was received whole reaches its caller. */
    private static final double MIN_DELIVERY_MILLIS = 250;

    private final GatewayContext context;
    private final AdmittedRequest admitted;
    private final String service;
    private final RequestModels models;
    private final UpstreamChooser chooser;

    Escalation(
            GatewayContext context,
            AdmittedRequest admitted,
            String service,
            RequestModels models,
            UpstreamChooser chooser) {
        this.context = Objects.requireNonNull(context, "context is null");
        this.admitted = Objects.requireNonNull(admitted, "admitted is null");
        this.service = Objects.requireNonNull(service, "service is null");
        this.models = Objects.requireNonNull(models, "models is null");
        this.chooser = Objects.requireNonNull(chooser, "chooser is null");
    }

    /**
     * Decides whether a draft is dropped for the largest model.
     *
     * @param modelIndex index of the model that made the draft
     * @param confidence confidence of that model in percent, empty if it reports none
     * @param sentAttempts number of attempts so far
     * @param remainingMillis time until the deadline of the request
     * @return the decision; an escalation takes one retry from the budget
     */
    DraftDecision decide(int modelIndex, OptionalInt confidence, int sentAttempts, long remainingMillis) {
        final OptionalInt heeded = heeded(modelIndex, confidence);
        if (!context.modelCascade().doubtful(modelCount(), modelIndex, heeded)) {
            return DraftDecision.SUFFICIENT;
        }
        if (sentAttempts >= admitted.route().maxAttempts()) {
            return DraftDecision.NO_RETRY;
        }
        final DraftDecision decision = chooser.bestPreferred(largestIndex())
                .map(choice -> context.modelCascade()
                        .decide(
                                heeded.getAsInt(),
                                context.urgencyOrder().reservationRank(admitted),
                                latencyEstimate(choice, largestIndex(), remainingMillis)))
                .orElse(DraftDecision.TOO_LATE);
        return decision == DraftDecision.ESCALATED
                        && !context.state()
                                .retryBudget(service)
                                .tryRetryWithReserve(now(), GatewayState.FAILURE_RETRY_RESERVE)
                ? DraftDecision.NO_RETRY
                : decision;
    }

    /** Returns the confidence unless it is known to say nothing of the draft. */
    private OptionalInt heeded(int modelIndex, OptionalInt confidence) {
        return context.modelCascade().learnsConfidences()
                ? context.state()
                        .draftConfidences(service)
                        .heed(admitted.route().name(), models.name(modelIndex), confidence)
                : confidence;
    }

    /** Returns the index of the largest model. */
    int largestIndex() {
        return modelCount() - 1;
    }

    private int modelCount() {
        return admitted.route().modelsBySize().size();
    }

    /**
     * Chooses a limited upstream for the largest model in place of a draft. A draft and its escalation would take two of the
     * requests that a limited upstream permits.
     *
     * @param draft choice for a draft
     * @param modelIndex index of the model that would make the draft
     * @param remainingMillis time until the deadline of the request
     * @return choice for the largest model, empty to make the draft: the chosen upstream is not limited, there is no larger model,
     *     or its answer would start or end too late
     */
    Optional<UpstreamPlacement.Choice> insteadOfDraft(
            UpstreamPlacement.Choice draft, int modelIndex, long remainingMillis) {
        final int largestIndex = largestIndex();
        if (modelIndex >= largestIndex || draft.member().limit().isEmpty()) {
            return Optional.empty();
        }
        return chooser.bestLimited(largestIndex)
                .filter(choice -> context.modelCascade()
                        .startsWithLargest(latencyEstimate(choice, largestIndex, remainingMillis)));
    }

    /** Returns the time that an answer of a model is expected to take from its first event on, at an upstream of usual pace. */
    long answerMillis(int modelIndex) {
        return Math.round(MIN_DELIVERY_MILLIS
                + models.expectedEvents()
                        * context.state()
                                .serviceTimes(service)
                                .eventIntervalMillis(models.name(modelIndex), models.relativeCost(modelIndex)));
    }

    private double objectiveLeftMillis() {
        return admitted.route().objectiveMillis() - (now() - admitted.receivedNanos()) / 1e6;
    }

    private ModelCascade.LatencyEstimate latencyEstimate(
            UpstreamPlacement.Choice choice, int modelIndex, long remainingMillis) {
        final ServiceTimes times = context.state().serviceTimes(service);
        final double answerMillis = choice.eventFactor()
                * models.expectedEvents()
                * times.eventIntervalMillis(models.name(modelIndex), models.relativeCost(modelIndex));
        return new ModelCascade.LatencyEstimate(
                objectiveLeftMillis(),
                remainingMillis,
                choice.expectedMillis() - choice.serviceMillis(),
                choice.predictedMillis(),
                choice.predictedMillis() + answerMillis);
    }

    private long now() {
        return context.scheduler().nanos();
    }
}
