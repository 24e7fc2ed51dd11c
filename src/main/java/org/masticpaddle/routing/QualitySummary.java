package org.masticpaddle.routing;

import java.util.List;
import java.util.Objects;

import org.masticpaddle.document.VersionName;

/**
 * Ratings that one entry has seen, for exchange through the log. Immutable and thread-safe.
 *
 * <p>A summary replaces all earlier ones of its source, so that reading it twice or late changes nothing.
 *
 * @param source entry and its incarnation
 * @param asOfMillis time at which the sums were forgotten down to, which also orders the summaries of a source
 * @param cells sums by version and kind
 */
public record QualitySummary(String source, long asOfMillis, List<Cell> cells) {
    /** Checks the arguments and copies the list. */
    public QualitySummary {
        Objects.requireNonNull(source, "source is null");
        cells = List.copyOf(cells);
    }

    /**
     * Sums of one version and kind.
     *
     * @param version the version
     * @param kind request kind
     * @param ratings sum of the ratings
     * @param weight number of the ratings, less what was forgotten
     */
    public record Cell(VersionName version, String kind, double ratings, double weight) {}
}
