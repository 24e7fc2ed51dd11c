package org.masticpaddle.gateway;

import java.util.Objects;

import org.masticpaddle.routing.ServiceTimes;

/** Records the times of one request's answers in the estimates of its service. Used on the event loop only. */
final class EstimateRecorder {
    private final GatewayContext context;
    private final String service;
    private final RequestModels models;

    EstimateRecorder(GatewayContext context, String service, RequestModels models) {
        this.context = Objects.requireNonNull(context, "context is null");
        this.service = Objects.requireNonNull(service, "service is null");
        this.models = Objects.requireNonNull(models, "models is null");
    }

    /** Records the time to the start of a stream, or to a complete plain answer. */
    void recordAnswerStart(Attempt attempt, String model, int modelIndex, long now) {
        final double millis = (now - attempt.sentNanos()) / 1e6;
        attempt.upstream().onSuccess(attempt.expectedMillis(), millis, now);
        if (!updatesEstimates(attempt)) {
            return;
        }
        if (model.isEmpty()) {
            serviceTimes().recordPlainRequest(millis);
        } else if (attempt.sentWithoutBacklog()) {
            serviceTimes()
                    .recordPrefill(
                            model,
                            models.relativeCost(modelIndex),
                            attempt.inFlight().uncachedTokens(),
                            millis);
        }
    }

    /** Records the mean time between the events of a complete stream. */
    void recordAnswerEnd(Attempt attempt, String model, int modelIndex, long now) {
        final int intervals = attempt.events() - 1;
        if (intervals > 0 && !model.isEmpty() && updatesEstimates(attempt)) {
            final long answerNanos = now - attempt.answerStartNanos().orElseThrow();
            serviceTimes().recordEventInterval(model, models.relativeCost(modelIndex), answerNanos / 1e6 / intervals);
        }
    }

    private boolean updatesEstimates(Attempt attempt) {
        return context.versionRouter().updatesEstimates(attempt.upstream().upstream());
    }

    private ServiceTimes serviceTimes() {
        return context.state().serviceTimes(service);
    }
}
