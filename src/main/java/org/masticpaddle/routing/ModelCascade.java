package org.masticpaddle.routing;

import java.util.OptionalInt;

/**
 * Chooses among models of one family, smallest first: drafts on the smallest and goes on with the largest when the draft's
 * model doubts its answer.
 *
 * <p>Pure; immutable.
 */
public final class ModelCascade {
    /**
     * Longest wait for the larger model by rank, in milliseconds. Beyond it the larger model's time goes to more urgent
     * requests: its prompts delay all that runs beside them.
     */
    private static final double[] MAX_WAIT_MILLIS_BY_RANK = {1_200, 500, 250};

    private final int confidenceThreshold;

    /**
     * Creates the policy.
     *
     * @param doubtBelow confidence, from 0 to 100, below which a draft is dropped
     */
    public ModelCascade(int doubtBelow) {
        this.confidenceThreshold = doubtBelow;
    }

    /**
     * Chooses the first model.
     *
     * @param sizes number of models
     * @return index of the model
     */
    public int first(int sizes) {
        return 0;
    }

    /**
     * Decides on a draft.
     *
     * @param sizes number of models
     * @param index model of the draft
     * @param confidence its opinion of the draft
     * @param rank priority class, 0 is the most urgent
     * @param outlook what the next model would take
     * @return model to go on with, empty to keep the draft
     */
    public OptionalInt next(int sizes, int index, OptionalInt confidence, int rank, LatencyEstimate outlook) {
        if (index >= sizes - 1 || confidence.isEmpty() || confidence.getAsInt() >= confidenceThreshold) {
            return OptionalInt.empty();
        }
        final double longest = MAX_WAIT_MILLIS_BY_RANK[Math.min(Math.max(rank, 0), MAX_WAIT_MILLIS_BY_RANK.length - 1)];
        return outlook.waitMillis() <= longest && outlook.isInTime() ? OptionalInt.of(sizes - 1) : OptionalInt.empty();
    }

    /**
     * Times of the next model's answer, in milliseconds. Immutable.
     *
     * @param objectiveLeftMillis time to the latest beginning of an answer in time
     * @param deadlineLeftMillis time to the latest end of the answer
     * @param waitMillis expected time until the model begins with the request
     * @param answerStartMillis expected time to the beginning of the answer
     * @param answerEndMillis expected time to its end
     */
    public record LatencyEstimate(
            double objectiveLeftMillis, double deadlineLeftMillis, double waitMillis, double answerStartMillis, double answerEndMillis) {
        boolean isInTime() {
            return answerStartMillis < objectiveLeftMillis && answerEndMillis < deadlineLeftMillis;
        }
    }
}
