package org.masticpaddle.routing;

import java.util.Objects;
import java.util.OptionalInt;

/**
 * Cascade over the models of one family, ordered by size: drafts on the smallest model and escalates to the largest one
 * if the drafting model reports low confidence in its answer.
 *
 * <p>Immutable and thread-safe; its methods have no side effects.
 */
public final class ModelCascade {
    /**
     * Longest expected wait for the largest model at which a request of each rank escalates, in milliseconds. Under
     * load this reserves the model for more urgent requests, since the prefill of each prompt delays all requests that
     * run beside it.
     */
    private static final double[] MAX_WAIT_MILLIS_BY_RANK = {1_200, 500, 250};

    /**
     * Largest part of the time to the deadline that an answer without a draft may be expected to take. Its events come more
     * slowly than expected if its upstream gets more requests meanwhile.
     */
    private static final double MAX_ANSWER_FRACTION = 0.5;

    private final int confidenceThreshold;
    private final EscalationPolicy policy;

    /**
     * Creates a cascade.
     *
     * @param confidenceThreshold confidence between 0 and 100 below which a draft is doubtful
     * @param policy how a doubtful draft is weighed against an answer of the largest model
     */
    public ModelCascade(int confidenceThreshold, EscalationPolicy policy) {
        this.confidenceThreshold = confidenceThreshold;
        this.policy = Objects.requireNonNull(policy, "policy is null");
    }

    /**
     * Returns the model that drafts.
     *
     * @param modelCount number of models
     * @return index of the model, from 0 for the smallest
     */
    public int draftModelIndex(int modelCount) {
        return 0;
    }

    /**
     * Decides whether to escalate from a draft.
     *
     * @param modelCount number of models
     * @param draftIndex index of the drafting model
     * @param confidence confidence between 0 and 100 that the drafting model reports, empty if it reports none
     * @param rank priority class, 0 for the most urgent
     * @param estimate latency estimate for the largest model
     * @return index of the model to escalate to, or empty to keep the draft
     */
    public OptionalInt escalationTarget(
            int modelCount, int draftIndex, OptionalInt confidence, int rank, LatencyEstimate estimate) {
        return doubtful(modelCount, draftIndex, confidence)
                        && decide(confidence.getAsInt(), rank, estimate) == DraftDecision.ESCALATED
                ? OptionalInt.of(modelCount - 1)
                : OptionalInt.empty();
    }

    /**
     * Returns whether a larger model should answer in place of a draft.
     *
     * @param modelCount number of models
     * @param draftIndex index of the drafting model
     * @param confidence confidence between 0 and 100 that the drafting model reports, empty if it reports none
     * @return {@code true} if there is a larger model and the confidence is below the threshold
     */
    public boolean doubtful(int modelCount, int draftIndex, OptionalInt confidence) {
        return draftIndex < modelCount - 1 && confidence.isPresent() && confidence.getAsInt() < confidenceThreshold;
    }

    /**
     * Returns whether confidences that say nothing of a draft are to be told from others.
     *
     * @return {@code true} if {@link DraftConfidences} decides which confidences count
     */
    public boolean learnsConfidences() {
        return policy.learnsConfidences();
    }

    /**
     * Returns whether a draft is held until the largest model has begun to answer.
     *
     * @return {@code false} if it is dropped when that model is asked
     */
    public boolean holdsDrafts() {
        return policy.holdsDrafts();
    }

    /**
     * Decides on a doubtful draft.
     *
     * @param confidence confidence between 0 and 100 that the drafting model reports, below the threshold
     * @param rank priority class, 0 for the most urgent
     * @param estimate latency estimate for the largest model
     * @return the decision, with its reason
     */
    public DraftDecision decide(int confidence, int rank, LatencyEstimate estimate) {
        final double maxWaitMillis =
                MAX_WAIT_MILLIS_BY_RANK[Math.min(Math.max(rank, 0), MAX_WAIT_MILLIS_BY_RANK.length - 1)];
        return policy.decide(new EscalationPolicy.Draft(confidence, confidenceThreshold), estimate, maxWaitMillis);
    }

    /**
     * Decides whether the largest model makes the first answer where the number of requests is limited, so that a draft and an
     * escalation would take two of them.
     *
     * @param estimate latency estimate for the largest model
     * @return {@code true} if the answer would start in time and end well before the deadline
     */
    public boolean startsWithLargest(LatencyEstimate estimate) {
        return estimate.answerStartMillis() < estimate.objectiveLeftMillis()
                && estimate.answerEndMillis() < estimate.deadlineLeftMillis() * MAX_ANSWER_FRACTION;
    }

    /**
     * Latency estimate for the largest model, in milliseconds from now. Immutable.
     *
     * @param objectiveLeftMillis time left in which the answer must start to meet the latency objective
     * @param deadlineLeftMillis time left in which the answer must end
     * @param waitMillis expected time until the model starts the request
     * @param answerStartMillis expected time until the answer starts
     * @param answerEndMillis expected time until the answer ends
     */
    public record LatencyEstimate(
            double objectiveLeftMillis,
            double deadlineLeftMillis,
            double waitMillis,
            double answerStartMillis,
            double answerEndMillis) {
        boolean meetsTimeLimits() {
            return answerStartMillis < objectiveLeftMillis && answerEndMillis < deadlineLeftMillis;
        }
    }
}
