package org.masticpaddle.gateway;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;

import org.masticpaddle.routing.ModelCascade;
import org.masticpaddle.routing.ServiceTimes;
import org.masticpaddle.routing.UpstreamPlacement;

/** Decides for one request whether a draft is dropped for the answer of a larger model. Used on the event loop only. */
final class Escalation {
    private final GatewayContext context;
    private final AdmittedRequest admitted;
    private final String service;
    private final RequestModels models;
    private final UpstreamChooser chooser;
    private final AttemptAdmission admission;

    Escalation(
            GatewayContext context,
            AdmittedRequest admitted,
            String service,
            RequestModels models,
            UpstreamChooser chooser,
            AttemptAdmission admission) {
        this.context = Objects.requireNonNull(context, "context is null");
        this.admitted = Objects.requireNonNull(admitted, "admitted is null");
        this.service = Objects.requireNonNull(service, "service is null");
        this.models = Objects.requireNonNull(models, "models is null");
        this.chooser = Objects.requireNonNull(chooser, "chooser is null");
        this.admission = Objects.requireNonNull(admission, "admission is null");
    }

    /**
     * Decides whether a draft is dropped for a larger model.
     *
     * @param modelIndex index of the model that made the draft
     * @param confidence confidence of that model in percent, empty if it reports none
     * @param sentAttempts number of attempts so far
     * @param remainingMillis time until the deadline of the request
     * @return index of the larger model, empty to keep the draft; an escalation takes one retry from the budget
     */
    OptionalInt largerModel(int modelIndex, OptionalInt confidence, int sentAttempts, long remainingMillis) {
        final int modelCount = admitted.route().modelsBySize().size();
        if (modelCount < 2 || sentAttempts >= admitted.route().maxAttempts() || admission.restrained()) {
            return OptionalInt.empty();
        }
        final Optional<UpstreamPlacement.Choice> choice = chooser.bestPreferred(modelCount - 1);
        if (choice.isEmpty()) {
            return OptionalInt.empty();
        }
        final OptionalInt largerModelIndex = context.modelCascade()
                .escalationTarget(
                        modelCount,
                        modelIndex,
                        confidence,
                        admitted.rank(),
                        latencyEstimate(choice.get(), modelCount - 1, remainingMillis));
        return largerModelIndex.isPresent()
                        && context.state()
                                .retryBudget(service)
                                .tryRetryWithReserve(now(), GatewayState.FAILURE_RETRY_RESERVE)
                ? largerModelIndex
                : OptionalInt.empty();
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
        final int largestIndex = admitted.route().modelsBySize().size() - 1;
        if (modelIndex >= largestIndex || draft.member().limit().isEmpty()) {
            return Optional.empty();
        }
        return chooser.bestLimited(largestIndex)
                .filter(choice -> context.modelCascade()
                        .startsWithLargest(latencyEstimate(choice, largestIndex, remainingMillis)));
    }

    private double objectiveLeftMillis() {
        return admitted.route().objectiveMillis() - (now() - admitted.receivedNanos()) / 1e6;
    }

    private ModelCascade.LatencyEstimate latencyEstimate(
            UpstreamPlacement.Choice choice, int modelIndex, long remainingMillis) {
        final ServiceTimes times = context.state().serviceTimes(service);
        final double answerMillis = models.expectedEvents()
                * times.eventIntervalMillis(models.name(modelIndex), models.relativeCost(modelIndex));
        return new ModelCascade.LatencyEstimate(
                objectiveLeftMillis(),
                remainingMillis,
                choice.expectedMillis() - choice.serviceMillis(),
                choice.expectedMillis(),
                choice.expectedMillis() + answerMillis);
    }

    private long now() {
        return context.scheduler().nanos();
    }
}
