package org.masticpaddle.entry;

import java.util.List;
import java.util.Objects;

import org.masticpaddle.rollout.ObservationSummary;
import org.masticpaddle.rollout.RolloutState;
import org.masticpaddle.rollout.VersionHealth;
import org.masticpaddle.routing.QualitySummary;

/**
 * Observations and states of one entry, for the other entries. Merging a summary twice or late is harmless. Immutable.
 *
 * @param source identifier of the entry and its incarnation
 * @param qualities quality estimates from the ratings of this entry
 * @param observations counts of requests and ratings since its previous summary
 * @param rollouts states of the rollouts at this entry
 * @param versions health of the versions at this entry
 */
public record EntrySummary(
        String source,
        List<QualitySummary> qualities,
        List<ObservationSummary> observations,
        List<RolloutState> rollouts,
        List<VersionHealth> versions) {
    /** Name of the log stream that holds the summaries. */
    public static final String STREAM = "observations";

    /** Checks the arguments and copies the lists. */
    public EntrySummary {
        Objects.requireNonNull(source, "source is null");
        qualities = List.copyOf(qualities);
        observations = List.copyOf(observations);
        rollouts = List.copyOf(rollouts);
        versions = List.copyOf(versions);
    }
}
