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
 * <p>Summaries are increments with a number: one read twice or out of order is ignored, a lost one only delays a
 * verdict. Entries that have read the same summaries have the same sums. Memory is bounded. Not thread-safe.
 */
public final class Observations {
    /** Length of an interval in milliseconds: shorter ones cost memory, longer ones blur the time of a change. */
    public static final long INTERVAL_MILLIS = 10_000;

    /** Intervals kept apart, one day; older ones are only counted as history. */
    private static final int INTERVALS = 8_640;

    private static final int VERSIONS = 64;
    private static final int SOURCES = 8_192;
    /** Requests at which the history is halved, so that it follows slow changes. */
    private static final double HISTORY = 20_000;

    private final String source;
    private final Map<VersionName, Series> all = new HashMap<>();
    private final Map<VersionName, TreeMap<Long, HealthCounts>> unsent = new HashMap<>();
    private final LinkedHashMap<String, Long> sequences = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > SOURCES;
        }
    };
    private long sequence;

    /**
     * Creates an empty set of observations.
     *
     * @param source this entry and its incarnation
     */
    public Observations(String source) {
        this.source = Objects.requireNonNull(source, "source is null");
    }

    /**
     * Notes the end of a request on a version.
     *
     * @param version version that ran
     * @param error whether the version failed; a refusal because of load is not noted
     * @param slow whether it was slower than the target of its rank
     * @param now current time in milliseconds since 1970
     */
    public void recordRequest(VersionName version, boolean error, boolean slow, long now) {
        observe(version, now, new HealthCounts(1, error ? 1 : 0, slow ? 1 : 0, 0, 0));
    }

    /**
     * Notes a rating.
     *
     * @param version rated version
     * @param rating quality; values outside 0 to 1 are clamped
     * @param now current time in milliseconds since 1970
     */
    public void recordRating(VersionName version, double rating, long now) {
        observe(version, now, new HealthCounts(0, 0, 0, 1, Math.min(1, Math.max(0, rating))));
    }

    private void observe(VersionName version, long now, HealthCounts counts) {
        final long interval = Math.floorDiv(now, INTERVAL_MILLIS);
        if (add(version, interval, counts)) {
            final TreeMap<Long, HealthCounts> cells = unsent.computeIfAbsent(version, absent -> new TreeMap<>());
            cells.merge(interval, counts, HealthCounts::plus);
            if (cells.size() > INTERVALS) {
                cells.pollFirstEntry();
            }
        }
    }

    /**
     * Takes what was observed since the previous summary. The caller appends it to the log; if it is lost, only these
     * observations are missing at other entries.
     *
     * @return the summary, or empty if nothing was observed
     */
    public Optional<ObservationSummary> takeSummary() {
        final List<ObservationSummary.Cell> cells = new ArrayList<>();
        unsent.forEach((version, intervals) -> intervals.forEach(
                (interval, counts) -> cells.add(new ObservationSummary.Cell(version, interval, counts))));
        unsent.clear();
        return cells.isEmpty() ? Optional.empty() : Optional.of(new ObservationSummary(source, ++sequence, cells));
    }

    /**
     * Takes over the summary of another entry; the own one and a repeated one are ignored.
     *
     * @param summary summary read from the log
     * @return whether it was new
     */
    public boolean merge(ObservationSummary summary) {
        final long known = sequences.getOrDefault(summary.source(), 0L);
        if (summary.source().equals(source) || summary.sequence() <= known) {
            return false;
        }
        sequences.put(summary.source(), summary.sequence());
        summary.cells().forEach(cell -> add(cell.version(), cell.interval(), cell.counts()));
        return true;
    }

    /**
     * Sums up observations from a time on.
     *
     * @param version the version
     * @param from start in milliseconds since 1970; its interval counts whole
     * @return the sums, at most of the last day
     */
    public HealthCounts countsSince(VersionName version, long from) {
        return sum(intervals(version).tailMap(Math.floorDiv(from, INTERVAL_MILLIS), true));
    }

    /**
     * Sums up observations before a time.
     *
     * @param version the version
     * @param until end in milliseconds since 1970; its interval does not count
     * @return the sums, the history included
     */
    public HealthCounts countsBefore(VersionName version, long until) {
        final Series series = all.get(version);
        return series == null
                ? HealthCounts.NONE
                : series.history.plus(sum(series.intervals.headMap(Math.floorDiv(until, INTERVAL_MILLIS), false)));
    }

    /**
     * Returns the intervals of a version.
     *
     * @param version the version
     * @return sums by number of the interval, ascending; not to be changed
     */
    NavigableMap<Long, HealthCounts> intervals(VersionName version) {
        final Series series = all.get(version);
        return series == null ? new TreeMap<>() : series.intervals;
    }

    private static HealthCounts sum(Map<Long, HealthCounts> cells) {
        HealthCounts sum = HealthCounts.NONE;
        for (final HealthCounts counts : cells.values()) {
            sum = sum.plus(counts);
        }
        return sum;
    }

    private boolean add(VersionName version, long interval, HealthCounts counts) {
        Series series = all.get(version);
        if (series == null) {
            if (all.size() >= VERSIONS) {
                return false;
            }
            series = new Series();
            all.put(version, series);
        }
        series.intervals.merge(interval, counts, HealthCounts::plus);
        while (series.intervals.size() > INTERVALS) {
            series.history =
                    series.history.plus(series.intervals.pollFirstEntry().getValue());
            series.history = series.history.requests() > HISTORY ? series.history.times(0.5) : series.history;
        }
        return true;
    }

    private static final class Series {
        private final TreeMap<Long, HealthCounts> intervals = new TreeMap<>();
        private HealthCounts history = HealthCounts.NONE;
    }
}
