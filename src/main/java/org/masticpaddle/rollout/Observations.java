package org.masticpaddle.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

import org.masticpaddle.document.VersionName;

/**
 * Observations of all entries, by version and interval.
 *
 * <p>Summaries are increments with a sequence number: one that is read twice or out of order is ignored, and a lost one only
 * delays a verdict. Entries that have read the same summaries have the same sums. Memory is bounded, since the numbers of
 * versions, intervals and sources are limited. Not thread-safe.
 */
public final class Observations {
    /** Length of an interval in milliseconds. Shorter ones cost memory, longer ones blur the time of a change. */
    public static final long INTERVAL_MILLIS = 10_000;

    /** Intervals kept for each version, one day; older ones are summed up in the history of the version. */
    private static final int MAX_INTERVALS = 8_640;

    /** Largest number of versions; observations of further ones are ignored. */
    private static final int MAX_VERSIONS = 64;
    /** Largest number of sources whose last sequence number is kept; the least recently used is dropped. */
    private static final int MAX_SOURCES = 8_192;
    /** Requests in the history above which it is halved, so that it follows slow changes. */
    private static final double MAX_HISTORY_REQUESTS = 20_000;

    private final String source;
    private final Map<VersionName, Series> seriesByVersion = new HashMap<>();
    private final Map<VersionName, TreeMap<Long, HealthCounts>> unsentCounts = new HashMap<>();
    private final LinkedHashMap<String, Long> lastSequenceBySource = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_SOURCES;
        }
    };
    private long sequence;

    /**
     * Creates an empty set of observations.
     *
     * @param source name and incarnation of this entry
     */
    public Observations(String source) {
        this.source = Objects.requireNonNull(source, "source is null");
    }

    /**
     * Records a finished request.
     *
     * @param version version that ran the request
     * @param error whether the version failed the request; rejections because of load are not recorded at all
     * @param slow whether the request was slower than the target of its rank
     * @param now current time in milliseconds since 1970
     */
    public void recordRequest(VersionName version, boolean error, boolean slow, long now) {
        recordCounts(version, now, new HealthCounts(1, error ? 1 : 0, slow ? 1 : 0, 0, 0));
    }

    /**
     * Records a rating.
     *
     * @param version rated version
     * @param rating quality of an answer; values outside 0 to 1 are clamped
     * @param now current time in milliseconds since 1970
     */
    public void recordRating(VersionName version, double rating, long now) {
        recordCounts(version, now, new HealthCounts(0, 0, 0, 1, Math.min(1, Math.max(0, rating))));
    }

    private void recordCounts(VersionName version, long now, HealthCounts counts) {
        final long interval = Math.floorDiv(now, INTERVAL_MILLIS);
        if (add(version, interval, counts)) {
            final TreeMap<Long, HealthCounts> cells = unsentCounts.computeIfAbsent(version, key -> new TreeMap<>());
            cells.merge(interval, counts, HealthCounts::plus);
            if (cells.size() > MAX_INTERVALS) {
                cells.pollFirstEntry();
            }
        }
    }

    /**
     * Returns the observations since the previous summary and resets them. The caller appends the summary to the log; if the
     * summary is lost, other entries lack these observations only.
     *
     * @return the summary, or empty if there are no new observations
     */
    public Optional<ObservationSummary> takeSummary() {
        final List<ObservationSummary.Cell> cells = new ArrayList<>();
        unsentCounts.forEach((version, intervals) -> intervals.forEach(
                (interval, counts) -> cells.add(new ObservationSummary.Cell(version, interval, counts))));
        unsentCounts.clear();
        return cells.isEmpty() ? Optional.empty() : Optional.of(new ObservationSummary(source, ++sequence, cells));
    }

    /**
     * Merges the summary of another entry. Summaries of this entry and repeated ones are ignored.
     *
     * @param summary summary read from the log
     * @return whether the summary was merged
     */
    public boolean merge(ObservationSummary summary) {
        final long lastSequence = lastSequenceBySource.getOrDefault(summary.source(), 0L);
        if (summary.source().equals(source) || summary.sequence() <= lastSequence) {
            return false;
        }
        lastSequenceBySource.put(summary.source(), summary.sequence());
        summary.cells().forEach(cell -> add(cell.version(), cell.interval(), cell.counts()));
        return true;
    }

    /**
     * Sums the observations from a time on.
     *
     * @param version observed version
     * @param from start in milliseconds since 1970; its interval is included as a whole
     * @return sums over the intervals kept, which cover at most one day
     */
    public HealthCounts countsSince(VersionName version, long from) {
        return sum(intervals(version).tailMap(Math.floorDiv(from, INTERVAL_MILLIS), true));
    }

    /**
     * Sums the observations before a time.
     *
     * @param version observed version
     * @param until end in milliseconds since 1970; its interval is excluded
     * @return sums including the history of the version
     */
    public HealthCounts countsBefore(VersionName version, long until) {
        final Series series = seriesByVersion.get(version);
        return series == null
                ? HealthCounts.NONE
                : series.history.plus(sum(series.intervals.headMap(Math.floorDiv(until, INTERVAL_MILLIS), false)));
    }

    /**
     * Returns the sums of a version by interval.
     *
     * @param version observed version
     * @return sums by index of the interval, ascending, empty for an unknown version; callers must not modify the map
     */
    NavigableMap<Long, HealthCounts> intervals(VersionName version) {
        final Series series = seriesByVersion.get(version);
        return series == null ? new TreeMap<>() : series.intervals;
    }

    private static HealthCounts sum(Map<Long, HealthCounts> cells) {
        HealthCounts total = HealthCounts.NONE;
        for (final HealthCounts counts : cells.values()) {
            total = total.plus(counts);
        }
        return total;
    }

    private boolean add(VersionName version, long interval, HealthCounts counts) {
        Series series = seriesByVersion.get(version);
        if (series == null) {
            if (seriesByVersion.size() >= MAX_VERSIONS) {
                return false;
            }
            series = new Series();
            seriesByVersion.put(version, series);
        }
        series.intervals.merge(interval, counts, HealthCounts::plus);
        while (series.intervals.size() > MAX_INTERVALS) {
            series.history =
                    series.history.plus(series.intervals.pollFirstEntry().getValue());
            series.history =
                    series.history.requests() > MAX_HISTORY_REQUESTS ? series.history.scaled(0.5) : series.history;
        }
        return true;
    }

    /** Observations of one version: recent sums by interval and the sum of the older ones. */
    private static final class Series {
        private final TreeMap<Long, HealthCounts> intervals = new TreeMap<>();
        private HealthCounts history = HealthCounts.NONE;
    }
}
