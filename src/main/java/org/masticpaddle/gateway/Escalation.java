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
        if (modelCount < 2 || sentAttempts >= admitted.route().maxAttempts()) {
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

    private ModelCascade.LatencyEstimate latencyEstimate(
            UpstreamPlacement.Choice choice, int modelIndex, long remainingMillis) {
        final ServiceTimes times = context.state().serviceTimes(service);
        final double answerMillis = models.expectedEvents()
                * times.eventIntervalMillis(models.name(modelIndex), models.relativeCost(modelIndex));
        return new ModelCascade.LatencyEstimate(
                admitted.route().objectiveMillis() - (now() - admitted.receivedNanos()) / 1e6,
                remainingMillis,
                choice.expectedMillis() - choice.serviceMillis(),
                choice.expectedMillis(),
                choice.expectedMillis() + answerMillis);
    }

    private long now() {
        return context.scheduler().nanos();
    }
}
