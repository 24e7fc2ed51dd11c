package org.masticpaddle.entry;

import java.util.List;
import java.util.Objects;

import org.masticpaddle.rollout.ObservationSummary;
import org.masticpaddle.rollout.RolloutState;
import org.masticpaddle.rollout.VersionHealth;
import org.masticpaddle.routing.QualitySummary;

/**
 * What one entry has learnt, for the other entries. Merging it twice or late does no harm. Immutable.
 *
 * @param source entry and its incarnation
 * @param qualities quality estimates from its own ratings
 * @param observations what it observed since its previous summary
 * @param rollouts states of roll-outs
 * @param versions health of versions
 */
public record EntrySummary(
        String source,
        List<QualitySummary> qualities,
        List<ObservationSummary> observations,
        List<RolloutState> rollouts,
        List<VersionHealth> versions) {
    /** Log stream of the summaries. */
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
