package org.masticpaddle.gateway;

import java.util.Objects;

import org.masticpaddle.fleet.ObservedSpeed;
import org.masticpaddle.routing.ExpectedWork;
import org.masticpaddle.routing.ServiceTimes;
import org.masticpaddle.routing.UpstreamPlacement;

/**
 * Records the times of one request's answers in the estimates of its service, as the answers of an upstream of usual pace would have
 * taken. Used on the event loop only.
 */
final class EstimateRecorder {
    private final GatewayState state;
    private final VersionRouter versionRouter;
    private final String service;
    private final RequestModels models;

    EstimateRecorder(GatewayState state, VersionRouter versionRouter, String service, RequestModels models) {
        this.state = Objects.requireNonNull(state, "state is null");
        this.versionRouter = Objects.requireNonNull(versionRouter, "versionRouter is null");
        this.service = Objects.requireNonNull(service, "service is null");
        this.models = Objects.requireNonNull(models, "models is null");
    }

    /** Returns the expected time between two events of a stream at a chosen upstream, 0 for plain requests. */
    double expectedEventMillis(UpstreamPlacement.Choice choice, String model, int modelIndex) {
        return model.isEmpty()
                ? 0
                : choice.eventFactor() * serviceTimes().eventIntervalMillis(model, models.relativeCost(modelIndex));
    }

    /** Records the time to the start of a stream, or to a complete plain answer. */
    void recordAnswerStart(Attempt attempt, String model, int modelIndex, long now) {
        final double millis = (now - attempt.sentNanos()) / 1e6;
        attempt.upstream().onSuccess(attempt.expectedMillis(), millis, now);
        if (!updatesEstimates(attempt)) {
            return;
        }
        final double usualMillis = millis / expectedWork(now).factor(attempt.upstream());
        if (model.isEmpty()) {
            // Both estimates hold the same factors, so that their ratio is the expected part of the wait.
            final double waitRatio = attempt.expectedMillis() / attempt.processingMillis();
            serviceTimes()
                    .recordPlainRequest(usualMillis)
                    .ifPresent(ratio -> speed(attempt).record(ObservedSpeed.Work.PLAIN, ratio / waitRatio, now));
        } else if (attempt.sentWithoutBacklog()) {
            serviceTimes()
                    .recordPrefill(
                            model,
                            models.relativeCost(modelIndex),
                            attempt.inFlight().uncachedTokens(),
                            usualMillis)
                    .ifPresent(ratio -> speed(attempt).record(ObservedSpeed.Work.PREFILL, ratio, now));
        }
    }

    /** Records the mean time between the events of a complete stream. */
    void recordAnswerEnd(Attempt attempt, String model, long now) {
        final int intervals = attempt.events() - 1;
        if (intervals > 0 && !model.isEmpty() && !attempt.limited() && updatesEstimates(attempt)) {
            final long answerNanos = now - attempt.answerStartNanos().orElseThrow();
            final double usualMillis =
                    answerNanos / 1e6 / intervals / expectedWork(now).level(attempt.upstream());
            serviceTimes()
                    .recordEventInterval(model, usualMillis)
                    .ifPresent(ratio -> speed(attempt).record(ObservedSpeed.Work.STEP, ratio, now));
        }
    }

    private ExpectedWork expectedWork(long now) {
        return new ExpectedWork(state.registry().members(service), now);
    }

    private static ObservedSpeed speed(Attempt attempt) {
        return attempt.upstream().performance().speed();
    }

    private boolean updatesEstimates(Attempt attempt) {
        return versionRouter.updatesEstimates(attempt.upstream().upstream());
    }

    private ServiceTimes serviceTimes() {
        return state.serviceTimes(service);
    }
}
