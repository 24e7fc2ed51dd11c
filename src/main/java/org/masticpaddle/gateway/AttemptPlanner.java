package org.masticpaddle.gateway;

import java.util.Objects;
import java.util.Optional;

import org.masticpaddle.admission.RejectionReason;
import org.masticpaddle.admission.Verdict;
import org.masticpaddle.quarantine.Admission;
import org.masticpaddle.routing.UpstreamPlacement;

/**
 * Decides whether the next attempt of one request starts now, and where: by the quarantine of its prompt segments, the upstreams
 * that are open, the limits that they state, the pauses that they ask for, and the admission of the first attempt.
 *
 * <p>Invariant: a request that waits is planned again soon; one that cannot start in time fails at once. Used on the event loop
 * only.
 */
final class AttemptPlanner {
    /** Time before the deadline below which no first attempt is started, since it could not end in time. */
    static final long MIN_ATTEMPT_MILLIS = 30;
    /** Longest delay after which a caller is asked to repeat a request that no upstream has a place for. */
    private static final double MAX_RETRY_AFTER_SECONDS = 60;
    /** Time after which a request that waits for an upstream or for the quarantine is planned again. */
    private static final Recheck RECHECK = new Recheck(40);

    private final GatewayContext context;
    private final AdmittedRequest admitted;
    private final UpstreamChooser chooser;
    private final Escalation escalation;
    private final PromptGuard guard;
    private final AttemptAdmission attemptAdmission;
    private final RequestDecisions decisions;
    private final UpstreamWait upstreamWait;

    AttemptPlanner(
            GatewayContext context,
            AdmittedRequest admitted,
            String service,
            UpstreamChooser chooser,
            Escalation escalation,
            PromptGuard guard,
            AttemptAdmission attemptAdmission) {
        this.context = Objects.requireNonNull(context, "context is null");
        this.admitted = Objects.requireNonNull(admitted, "admitted is null");
        this.chooser = Objects.requireNonNull(chooser, "chooser is null");
        this.escalation = Objects.requireNonNull(escalation, "escalation is null");
        this.guard = Objects.requireNonNull(guard, "guard is null");
        this.attemptAdmission = Objects.requireNonNull(attemptAdmission, "attemptAdmission is null");
        decisions = new RequestDecisions(context, admitted);
        upstreamWait = new UpstreamWait(context.state(), context.scheduler(), service, admitted.rank());
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
            attemptAdmission.leaveLine();
            return RECHECK;
        }
        if (admission.outcome().compareTo(Admission.Outcome.HELD) >= 0) {
            return quarantined(admission);
        }
        final Optional<UpstreamPlacement.Choice> choice =
                chooser.choose(model, modelIndex, mayWait, admission.outcome() == Admission.Outcome.TRIAL);
        if (choice.isPresent() && upstreamWait.isTurn(choice.get().member())) {
            final Plan plan = sentAttempts == 0
                    ? admit(choice.get(), admission, modelIndex, remainingMillis)
                    : sent(new Send(choice.get(), admission, modelIndex));
            if (!(plan instanceof Recheck)) {
                upstreamWait.end();
            }
            return plan;
        }
        attemptAdmission.leaveLine();
        if (upstreamWait.blocked()) {
            return waitForUpstream(remainingMillis);
        }
        return sentAttempts == 0 && mayWait ? RECHECK : new Fail("no upstream is open: " + upstreamWait.reasons(), 0);
    }

    /** Returns the end of a request that the quarantine does not admit. */
    Fail quarantined(Admission admission) {
        context.counters().add(GatewayCounters.Counter.QUARANTINED);
        return new Fail(
                "segment " + admission.segment() + " is suspected of " + admission.crashes() + " crashes",
                context.quarantine().secondsUntil(admission));
    }

    /** Ends the wait of a request that has ended. */
    void close() {
        upstreamWait.end();
    }

    /** Sends the first attempt, or lets it wait or rejects it by its expected time and the share of its organisation. */
    private Plan admit(UpstreamPlacement.Choice choice, Admission admission, int modelIndex, long remainingMillis) {
        final Verdict verdict = attemptAdmission.decide(choice);
        if (verdict instanceof Verdict.Wait wait) {
            return new Recheck(wait.millis());
        }
        if (attemptAdmission.waited()) {
            context.counters().add(GatewayCounters.Counter.WAITED);
            context.counters().add(GatewayCounters.Counter.WAITED_MILLIS, Math.round(attemptAdmission.waitedMillis()));
            decisions.waited(choice, attemptAdmission, verdict);
        }
        return verdict instanceof Verdict.Reject reject
                ? rejected(choice, reject)
                : sent(withoutDraft(choice, admission, modelIndex, remainingMillis));
    }

    private Send sent(Send send) {
        attemptAdmission.onSent(send.choice());
        return send;
    }

    private Fail rejected(UpstreamPlacement.Choice choice, Verdict.Reject reject) {
        context.counters()
                .add(
                        reject.reason() == RejectionReason.ABOVE_SHARE
                                ? GatewayCounters.Counter.REJECTED_ABOVE_SHARE
                                : GatewayCounters.Counter.REJECTED_LATE);
        // The random part spreads the returns of requests that are rejected together.
        final double retryAfterMillis = reject.retryAfterMillis()
                + Math.max(reject.retryAfterMillis(), reject.spreadMillis())
                        * context.random().nextDouble();
        return new Fail(
                "no answer would start in time (" + reject.reason().label() + "): expected in "
                        + Math.round(attemptAdmission.expectedMillis(choice)) + " ms, allowed "
                        + Math.round(reject.limitMillis()) + " ms",
                Math.min(MAX_RETRY_AFTER_SECONDS, retryAfterMillis / 1e3));
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
        return RECHECK;
    }

    /** What to do with a request that has no attempt in flight. */
    sealed interface Plan {}

    /**
     * The attempt starts now. Immutable.
     *
     * @param choice upstream and the estimates behind its choice
     * @param admission admission by the quarantine
     * @param modelIndex index of the model to run
     */
    record Send(UpstreamPlacement.Choice choice, Admission admission, int modelIndex) implements Plan {}

    /**
     * The request waits for a short time and is planned again. Immutable.
     *
     * @param millis time until then
     */
    record Recheck(long millis) implements Plan {}

    /**
     * The request ends without another attempt. Immutable.
     *
     * @param reason reason for the log and the caller
     * @param retryAfterSeconds time after which the request may succeed, 0 if it is not known
     */
    record Fail(String reason, double retryAfterSeconds) implements Plan {}
}
