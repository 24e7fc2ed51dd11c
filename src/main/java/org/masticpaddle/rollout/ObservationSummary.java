package org.masticpaddle.rollout;

import java.util.List;
import java.util.Objects;

import org.masticpaddle.document.VersionName;

/**
 * What one entry observed since its previous summary, for exchange through the log. Immutable and thread-safe.
 *
 * @param source entry and its incarnation
 * @param sequence number of the summary, ascending in the source
 * @param cells sums by version and time
 */
public record ObservationSummary(String source, long sequence, List<Cell> cells) {
    /** Checks the arguments and copies the list. */
    public ObservationSummary {
        Objects.requireNonNull(source, "source is null");
        cells = List.copyOf(cells);
    }

    /**
     * Sums of one version in one interval.
     *
     * @param version the version
     * @param interval number of the interval of {@link Observations#INTERVAL_MILLIS} since 1970
     * @param counts the sums
     */
    public record Cell(VersionName version, long interval, HealthCounts counts) {}
}
