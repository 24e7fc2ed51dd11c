package org.masticpaddle.document;

import java.util.List;
import java.util.Objects;

/**
 * Declaration of a rollout from one version of a model to another. Immutable and thread-safe.
 *
 * @param name name of the rollout
 * @param model name of the model
 * @param from version to be replaced
 * @param to target version
 * @param stages shares of new sessions that use the new version in each stage, ascending, each above 0 and at most 1
 * @param stageMillis minimum duration of a stage, in milliseconds
 * @param state state ordered by the operators
 */
public record Rollout(
        String name, String model, String from, String to, List<Double> stages, long stageMillis, State state) {
    /** Checks the arguments and copies the list. */
    public Rollout {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(state, "state is null");
        stages = List.copyOf(stages);
    }

    /** State of a rollout. */
    public enum State {
        /** The rollout proceeds through its stages while the new version is healthy. */
        RUNNING,
        /** The rollout stays at its current stage. */
        PAUSED,
        /** The new version receives no new sessions. */
        STOPPED
    }
}
