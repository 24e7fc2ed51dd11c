package org.masticpaddle.routing;

import java.util.List;
import java.util.Objects;

import org.masticpaddle.document.VersionName;

/**
 * Decayed sums of the ratings that one entry has obtained, exchanged through the log. Immutable and thread-safe.
 *
 * <p>A summary replaces all earlier ones of its source, so that reading it twice or out of order changes nothing.
 *
 * @param source identifier of the entry and its incarnation
 * @param asOfMillis time in milliseconds up to which the sums have decayed, which also orders the summaries of a source
 * @param cells sums by version and request kind
 */
public record QualitySummary(String source, long asOfMillis, List<Cell> cells) {
    /** Checks the arguments and copies the list. */
    public QualitySummary {
        Objects.requireNonNull(source, "source is null");
        cells = List.copyOf(cells);
    }

    /**
     * Decayed sums of one version and request kind.
     *
     * @param version rated version
     * @param kind request kind
     * @param ratings decayed sum of the ratings
     * @param weight decayed number of the ratings
     */
    public record Cell(VersionName version, String kind, double ratings, double weight) {}
}
