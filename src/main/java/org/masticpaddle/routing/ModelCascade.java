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
    private static final double[] LONGEST_WAIT_MILLIS = {1_200, 500, 250};

    private final int doubtBelow;

    /**
     * Creates the policy.
     *
     * @param doubtBelow confidence, from 0 to 100, below which a draft is dropped
     */
    public ModelCascade(int doubtBelow) {
        this.doubtBelow = doubtBelow;
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
        if (index >= sizes - 1 || confidence.isEmpty() || confidence.getAsInt() >= doubtBelow) {
            return OptionalInt.empty();
        }
        final double longest = LONGEST_WAIT_MILLIS[Math.min(Math.max(rank, 0), LONGEST_WAIT_MILLIS.length - 1)];
        return outlook.waitMillis() <= longest && outlook.fits() ? OptionalInt.of(sizes - 1) : OptionalInt.empty();
    }

    /**
     * Times of the next model's answer, in milliseconds. Immutable.
     *
     * @param objectiveLeft time to the latest beginning of an answer in time
     * @param deadlineLeft time to the latest end of the answer
     * @param waitMillis expected time until the model begins with the request
     * @param beginMillis expected time to the beginning of the answer
     * @param endMillis expected time to its end
     */
    public record LatencyEstimate(
            double objectiveLeft, double deadlineLeft, double waitMillis, double beginMillis, double endMillis) {
        boolean fits() {
            return beginMillis < objectiveLeft && endMillis < deadlineLeft;
        }
    }
}
