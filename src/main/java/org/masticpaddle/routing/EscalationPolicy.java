package org.masticpaddle.routing;

/**
 * How a doubtful draft is weighed against an answer of the largest model.
 *
 * <p>Immutable and thread-safe; its methods have no side effects.
 */
public enum EscalationPolicy {
    /** Each doubtful draft is replaced by an answer that comes in time, up to a load that depends on the rank of the request. */
    IN_TIME {
        @Override
        DraftDecision decide(Draft draft, ModelCascade.LatencyEstimate estimate, double maxWaitMillis) {
            if (!estimate.meetsTimeLimits()) {
                return DraftDecision.TOO_LATE;
            }
            return estimate.waitMillis() <= maxWaitMillis ? DraftDecision.ESCALATED : DraftDecision.RESERVED;
        }
    },
    /**
     * A draft is replaced if the caller is expected to gain more than the load of the largest model costs the requests beside it.
     *
     * <p>Load pattern: in a burst more drafts are doubtful than the largest model can replace. The poorest drafts are replaced first, and
     * the load at which a draft is kept falls with what its caller would gain.
     */
    BY_VALUE {
        @Override
        DraftDecision decide(Draft draft, ModelCascade.LatencyEstimate estimate, double maxWaitMillis) {
            final double answerValue;
            if (estimate.meetsTimeLimits()) {
                answerValue = 1;
            } else if (estimate.answerEndMillis() < estimate.deadlineLeftMillis() * SAFE_PART_OF_DEADLINE) {
                answerValue = LATE_VALUE;
            } else {
                return DraftDecision.TOO_LATE;
            }
            final double gain = answerValue - draft.value(estimate);
            if (gain <= 0) {
                return DraftDecision.TOO_LATE;
            }
            final double price = estimate.waitMillis() / maxWaitMillis * draft.middleGain();
            return gain > price ? DraftDecision.ESCALATED : DraftDecision.RESERVED;
        }

        @Override
        boolean learnsConfidences() {
            return true;
        }

        @Override
        boolean holdsDrafts() {
            return true;
        }
    };

    /**
     * Value of an answer that comes after the latency objective and before the deadline, relative to one in time: the caller has waited for
     * longer than it should, and can use the answer.
     */
    private static final double LATE_VALUE = 0.25;

    /**
     * Part of the time to the deadline in which a late answer is expected to end at the latest. An answer after the deadline is worth
     * nothing, while the draft could have been delivered.
     */
    private static final double SAFE_PART_OF_DEADLINE = 0.5;

    /**
     * Decides on a doubtful draft.
     *
     * @param draft draft, which can be delivered now
     * @param estimate latency estimate for the largest model
     * @param maxWaitMillis longest expected wait for the largest model at which the middle of all doubtful drafts is replaced
     */
    abstract DraftDecision decide(Draft draft, ModelCascade.LatencyEstimate estimate, double maxWaitMillis);

    /** Returns whether {@link DraftConfidences} decides which confidences count. */
    boolean learnsConfidences() {
        return false;
    }

    /** Returns whether a draft is held until the largest model has begun to answer. */
    boolean holdsDrafts() {
        return false;
    }

    /**
     * Doubtful draft. Immutable.
     *
     * @param confidence confidence of its model in percent
     * @param threshold confidence in percent from which a draft is not doubtful
     */
    record Draft(int confidence, int threshold) {
        /** Returns what the caller is expected to get from the draft, relative to a right answer in time. */
        double value(ModelCascade.LatencyEstimate estimate) {
            return confidence / 100.0 * (estimate.objectiveLeftMillis() > 0 ? 1 : LATE_VALUE);
        }

        /** Returns the gain from a right answer in time in the place of a draft in the middle of the doubtful ones. */
        double middleGain() {
            return 1 - threshold / 200.0;
        }
    }
}
