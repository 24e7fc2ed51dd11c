package org.masticpaddle.routing;

import java.util.OptionalInt;

/**
 * Chooses among models of one family, smallest first: drafts on the smallest and goes on with the largest when the draft's
 * model doubts its answer.
 *
 * <p>Pure; immutable.
 */
public final class ModelLadder {
    private final int doubtBelow;

    /**
     * Creates the policy.
     *
     * @param doubtBelow confidence, from 0 to 100, below which a draft is dropped
     */
    public ModelLadder(int doubtBelow) {
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
     * @param millisLeft time to the latest useful beginning of the answer
     * @param expectedMillis expected time to the beginning of the next model's answer
     * @return model to go on with, empty to keep the draft
     */
    public OptionalInt next(int sizes, int index, OptionalInt confidence, double millisLeft, double expectedMillis) {
        if (index >= sizes - 1 || confidence.isEmpty() || confidence.getAsInt() >= doubtBelow) {
            return OptionalInt.empty();
        }
        return expectedMillis < millisLeft ? OptionalInt.of(sizes - 1) : OptionalInt.empty();
    }
}
