package org.masticpaddle.gateway;

import java.util.Objects;
import java.util.Optional;

import org.masticpaddle.quarantine.Admission;
import org.masticpaddle.routing.UpstreamPlacement;

/**
 * Decides whether the next attempt of one request starts now, and where: by the quarantine of its prompt segments, the upstreams
 * that are open, the limits that they state, the pauses that they ask for and the failure domains that are evacuated.
 *
 * <p>Invariant: a request that waits is planned again soon; one that cannot start in time fails at once. Used on the event loop
 * only.
 */
final class AttemptPlanner {
    /** Time before the deadline below which no first attempt is started, since it could not end in time. */
    static final long MIN_ATTEMPT_MILLIS = 30;
    /** Longest delay after which a caller is asked to repeat a request that no upstream has a place for. */
    private static final double MAX_RETRY_AFTER_SECONDS = 60;

    /** Shortest delay after which a caller is asked to repeat a request while all its upstreams are evacuated. */
    private static final double EVACUATED_RETRY_AFTER_SECONDS = 2;

    private final GatewayContext context;
    private final AdmittedRequest admitted;
    private final UpstreamChooser chooser;
    private final Escalation escalation;
    private final PromptGuard guard;
    private final UpstreamWait upstreamWait;

    AttemptPlanner(
            GatewayContext context,
            AdmittedRequest admitted,
            String service,
            UpstreamChooser chooser,
            Escalation escalation,
            PromptGuard guard) {
        this.context = Objects.requireNonNull(context, "context is null");
        this.admitted = Objects.requireNonNull(admitted, "admitted is null");
        this.chooser = Objects.requireNonNull(chooser, "chooser is null");
        this.escalation = Objects.requireNonNull(escalation, "escalation is null");
        this.guard = Objects.requireNonNull(guard, "guard is null");
        upstreamWait = new UpstreamWait(
                context.state(),
                context.scheduler(),
                service,
                context.urgencyOrder().position(admitted));
    }

    /**
     * Plans the next attempt.
     *
     * @param model name of the model that the attempt is to run
     * @param modelIndex index of the model
     * @param sentAttempts number of attempts so far
     * @param remainingMillis time until the deadline of the request
     * @return what to do now
     */
    Plan next(String model, int modelIndex, int sentAttempts, long remainingMillis) {
        if (sentAttempts == 0 && remainingMillis < MIN_ATTEMPT_MILLIS) {
            return new Fail("too little time is left for an attempt", 0);
        }
        final boolean mayWait = remainingMillis > admitted.timeoutMillis() / 2;
        final Admission admission = guard.admission();
        if (admission.outcome() == Admission.Outcome.HELD && mayWait) {
            return Recheck.INSTANCE;
        }
        if (admission.outcome().compareTo(Admission.Outcome.HELD) >= 0) {
            return quarantined(admission);
        }
        final Optional<UpstreamPlacement.Choice> choice =
                chooser.choose(model, modelIndex, mayWait, admission.outcome() == Admission.Outcome.TRIAL);
        if (choice.isPresent() && upstreamWait.isTurn(choice.get().member())) {
            upstreamWait.end();
            return sentAttempts == 0
                    ? withoutDraft(choice.get(), admission, modelIndex, remainingMillis)
                    : new Send(choice.get(), admission, modelIndex);
        }
        if (chooser.allEvacuated()) {
            return evacuated();
        }
        if (upstreamWait.blocked()) {
            return waitForUpstream(remainingMillis);
        }
        return sentAttempts == 0 && mayWait
                ? Recheck.INSTANCE
                : new Fail("no upstream is open: " + upstreamWait.reasons(), 0);
    }

    /** Returns the end of a request that the quarantine does not admit. */
    Fail quarantined(Admission admission) {
        context.counters().add(GatewayCounters.Counter.QUARANTINED);
        return new Fail(
                "segment " + admission.segment() + " is suspected of " + admission.crashes() + " crashes",
                context.quarantine().secondsUntil(admission));
    }

    /** Returns the end of a request whose upstreams get none until the operator says otherwise, which may take long. */
    private Fail evacuated() {
        context.counters().add(GatewayCounters.Counter.EVACUATED_UNSERVED);
        return new Fail(
                "all upstreams are in evacuated failure domains: "
                        + String.join(", ", context.state().registry().evacuatedDomains()),
                EVACUATED_RETRY_AFTER_SECONDS * (1 + context.random().nextDouble()));
    }

    /** Ends the wait of a request that needs no further attempt now. */
    void close() {
        upstreamWait.end();
    }

    /** Selects the largest model at once if the upstream is limited and the answer would come in time. */
    private Send withoutDraft(
            UpstreamPlacement.Choice draft, Admission admission, int modelIndex, long remainingMillis) {
        return escalation
                .insteadOfDraft(draft, modelIndex, remainingMillis)
                .map(largest -> new Send(
                        largest, admission, admitted.route().modelsBySize().size() - 1))
                .orElseGet(() -> new Send(draft, admission, modelIndex));
    }

    private Plan waitForUpstream(long remainingMillis) {
        final double expectedMillis = upstreamWait.expectedMillis();
        if (expectedMillis > remainingMillis - admitted.timeoutMillis() / 2.0) {
            // The random part spreads the returns of requests that are rejected together.
            final double delaySeconds =
                    expectedMillis / 1e3 * (1 + context.random().nextDouble());
            return new Fail(
                    "no upstream has a place in time: " + upstreamWait.reasons(),
                    Math.min(MAX_RETRY_AFTER_SECONDS, delaySeconds));
        }
        upstreamWait.begin();
        return Recheck.INSTANCE;
    }

    /** What to do with a request that has no attempt in flight. */
    sealed interface Plan {
        /** Returns whether an attempt starts now and is not the trial of a suspected prompt segment. */
        default boolean startsNowUnsuspected() {
            return this instanceof Send send && send.admission().outcome() != Admission.Outcome.TRIAL;
        }
    }

    /**
     * The attempt starts now. Immutable.
     *
     * @param choice upstream and the estimates behind its choice
     * @param admission admission by the quarantine
     * @param modelIndex index of the model to run
     */
    record Send(UpstreamPlacement.Choice choice, Admission admission, int modelIndex) implements Plan {}

    /** The request waits for a short time and is planned again. */
    enum Recheck implements Plan {
        /** The only instance. */
        INSTANCE
    }

    /**
     * The request ends without another attempt. Immutable.
     *
     * @param reason reason for the log and the caller
     * @param retryAfterSeconds time after which the request may succeed, 0 if it is not known
     */
    record Fail(String reason, double retryAfterSeconds) implements Plan {}
}
