package org.masticpaddle.rollout;

import java.util.List;
import java.util.Objects;

import org.masticpaddle.document.VersionName;

/**
 * Observations of one entry since its previous summary, as entries exchange them through the log. Immutable and
 * thread-safe.
 *
 * @param source entry and its incarnation
 * @param sequence sequence number of the summary, ascending within the source
 * @param cells sums by version and interval
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
     * @param version observed version
     * @param interval index of the interval of {@link Observations#INTERVAL_MILLIS} since 1970
     * @param counts sums of the observations in the interval
     */
    public record Cell(VersionName version, long interval, HealthCounts counts) {}
}
