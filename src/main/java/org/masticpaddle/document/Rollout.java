package org.masticpaddle.document;

import java.util.List;
import java.util.Objects;

/**
 * Declaration of a roll-out from one version of a model to another. Immutable and thread-safe.
 *
 * @param name name
 * @param model model
 * @param from version that is replaced
 * @param to version that replaces it
 * @param stages shares of new sessions that go to the new version, ascending, each above 0 and at most 1
 * @param stageMillis shortest duration of a stage, in milliseconds
 * @param state whether the roll-out goes on
 */
public record Rollout(
        String name, String model, String from, String to, List<Double> stages, long stageMillis, State state) {
    /** Checks the arguments and copies the list. */
    public Rollout {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(state, "state is null");
        stages = List.copyOf(stages);
    }

    /** Whether a roll-out goes on. */
    public enum State {
        /** Stages follow each other while the new version is healthy. */
        RUNNING,
        /** The stage reached stays. */
        PAUSED,
        /** The new version receives no new sessions. */
        STOPPED
    }
}
