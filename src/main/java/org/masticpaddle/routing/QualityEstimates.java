package org.masticpaddle.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.masticpaddle.document.ModelVersion;
import org.masticpaddle.document.VersionName;

/**
 * Beta posteriors of the quality of each version and request kind: the declared prior updated with ratings.
 *
 * <p>Ratings lose half their weight in each half-life, so that a change in a version's quality shows. The decay is
 * linear in the sums, so the sums of all entries can be added in any order. Memory is limited by the numbers of cells
 * and sources. Not thread-safe: confined to one duty.
 */
public final class QualityEstimates {
    /**
     * Default half-life: short enough to detect a change within an hour, long enough to collect some hundred ratings.
     */
    public static final long HALF_LIFE_MILLIS = 1_200_000;

    /** Largest number of pairs of version and request kind, separately for local and total sums. */
    private static final int MAX_CELLS = 4_096;
    /** Largest number of other entries whose summaries count; the least recently updated is dropped first. */
    private static final int MAX_SOURCES = 4_096;

    private final String source;
    private final long halfLifeMillis;
    private final Map<Key, Sums> localSums = new HashMap<>();
    private final Map<Key, Sums> totalSums = new HashMap<>();
    private final LinkedHashMap<String, QualitySummary> latestSummaryBySource = new LinkedHashMap<>();

    /**
     * Creates estimates without ratings.
     *
     * @param source identifier of this entry and its incarnation
     * @param halfLifeMillis time in milliseconds in which a rating loses half its weight
     */
    public QualityEstimates(String source, long halfLifeMillis) {
        this.source = Objects.requireNonNull(source, "source is null");
        this.halfLifeMillis = halfLifeMillis;
    }

    /**
     * Records a rating that this entry obtained. A rating that would need more than the largest number of cells is
     * dropped.
     *
     * @param version rated version
     * @param kind request kind
     * @param rating quality; values outside 0 to 1 are clamped
     * @param now current time in milliseconds
     */
    public void record(VersionName version, String kind, double rating, long now) {
        final Key key = new Key(version, kind);
        final double clampedRating = Math.min(1, Math.max(0, rating));
        if (add(localSums, key, clampedRating, 1, now)) {
            add(totalSums, key, clampedRating, 1, now);
        }
    }

    /**
     * Estimates the quality of a version.
     *
     * @param version declared version
     * @param kind request kind
     * @param now current time in milliseconds
     * @return posterior, or the declared prior if there are no ratings
     */
    public QualityEstimate estimate(ModelVersion version, String kind, long now) {
        final double declaredQuality = Math.min(0.999, Math.max(0.001, version.declaredQuality(kind)));
        final double priorWeight = Math.max(1, version.priorWeight());
        final Sums sums = totalSums.get(new Key(version.name(), kind));
        if (sums == null) {
            return QualityEstimate.ofBeta(declaredQuality * priorWeight, (1 - declaredQuality) * priorWeight);
        }
        final double factor = decayFactor(sums.asOfMillis, now);
        final double good = Math.max(0, sums.ratings * factor);
        final double bad = Math.max(0, sums.weight * factor - good);
        return QualityEstimate.ofBeta(declaredQuality * priorWeight + good, (1 - declaredQuality) * priorWeight + bad);
    }

    /**
     * Returns a summary of the ratings that this entry obtained itself.
     *
     * @param now current time in milliseconds
     * @return summary to be written to the log
     */
    public QualitySummary summary(long now) {
        final List<QualitySummary.Cell> cells = new ArrayList<>();
        localSums.forEach((key, sums) -> {
            final double factor = decayFactor(sums.asOfMillis, now);
            cells.add(new QualitySummary.Cell(key.version, key.kind, sums.ratings * factor, sums.weight * factor));
        });
        return new QualitySummary(source, now, cells);
    }

    /**
     * Merges the summary of another entry. Summaries of this entry and those that are not newer than the last one
     * merged from their source are ignored.
     *
     * @param summary summary read from the log
     * @param now current time in milliseconds
     * @return whether the summary was merged
     */
    public boolean merge(QualitySummary summary, long now) {
        final QualitySummary previous = latestSummaryBySource.get(summary.source());
        if (summary.source().equals(source) || previous != null && previous.asOfMillis() >= summary.asOfMillis()) {
            return false;
        }
        if (previous != null) {
            apply(previous, -1, now);
            latestSummaryBySource.remove(previous.source());
        } else if (latestSummaryBySource.size() >= MAX_SOURCES) {
            final QualitySummary oldest =
                    latestSummaryBySource.values().iterator().next();
            apply(oldest, -1, now);
            latestSummaryBySource.remove(oldest.source());
        }
        latestSummaryBySource.put(summary.source(), summary);
        apply(summary, 1, now);
        return true;
    }

    private void apply(QualitySummary summary, int sign, long now) {
        final double factor = sign * decayFactor(summary.asOfMillis(), now);
        for (final QualitySummary.Cell cell : summary.cells()) {
            add(totalSums, new Key(cell.version(), cell.kind()), cell.ratings() * factor, cell.weight() * factor, now);
        }
    }

    private boolean add(Map<Key, Sums> sumsByKey, Key key, double ratings, double weight, long now) {
        Sums sums = sumsByKey.get(key);
        if (sums == null) {
            if (sumsByKey.size() >= MAX_CELLS) {
                return false;
            }
            sums = new Sums(now);
            sumsByKey.put(key, sums);
        }
        final double factor = decayFactor(sums.asOfMillis, now);
        sums.ratings = sums.ratings * factor + ratings;
        sums.weight = sums.weight * factor + weight;
        sums.asOfMillis = Math.max(sums.asOfMillis, now);
        return true;
    }

    private double decayFactor(long asOfMillis, long now) {
        return now <= asOfMillis ? 1 : Math.pow(0.5, (now - asOfMillis) / (double) halfLifeMillis);
    }

    private record Key(VersionName version, String kind) {}

    private static final class Sums {
        private double ratings;
        private double weight;
        private long asOfMillis;

        private Sums(long asOfMillis) {
            this.asOfMillis = asOfMillis;
        }
    }
}
