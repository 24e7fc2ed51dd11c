package org.masticpaddle.report;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.masticpaddle.wire.Rank;

/**
 * Aggregates interval records into a burn report. The records of a source must be added in the order of the log; then
 * a duplicate is recognised by its sequence number and counts once. Not thread-safe.
 */
public final class BurnTotals {
    private static final long CHART_STEP_MILLIS = 300_000;

    private final long nowMillis;
    private final double objective;
    private final Map<String, Long> lastSequences = new HashMap<>();
    private final Map<GroupKey, GroupTotals> totalsByGroup = new HashMap<>();
    // Eligible and bad requests by rank and end of the time step.
    private final Map<Rank, TreeMap<Long, long[]>> chartSteps = new EnumMap<>(Rank.class);
    private long earliestFromMillis = Long.MAX_VALUE;

    /**
     * Creates empty totals.
     *
     * @param nowMillis end of all windows in milliseconds since 1970
     * @param objective share of requests that should meet their target, above 0 and below 1
     * @throws IllegalArgumentException if the objective is out of range
     */
    public BurnTotals(long nowMillis, double objective) {
        if (!(objective > 0 && objective < 1)) {
            throw new IllegalArgumentException("objective is " + objective + ", expected a number above 0 and below 1");
        }
        this.nowMillis = nowMillis;
        this.objective = objective;
    }

    /**
     * Adds a record. Duplicates and records that end outside the longest window are ignored.
     *
     * @param interval counts of one entry in one interval
     */
    public void add(IntervalRecord interval) {
        final long lastSequence = lastSequences.getOrDefault(interval.source(), Long.MIN_VALUE);
        if (interval.sequence() <= lastSequence) {
            return;
        }
        lastSequences.put(interval.source(), interval.sequence());
        final long ageMillis = nowMillis - interval.toMillis();
        if (ageMillis < 0 || ageMillis >= BurnWindow.DAYS_3.length().toMillis()) {
            return;
        }
        earliestFromMillis = Math.min(earliestFromMillis, interval.fromMillis());
        for (final IntervalRecord.Row row : interval.rows()) {
            totalsByGroup
                    .computeIfAbsent(new GroupKey(row.organisation(), row.rank()), key -> new GroupTotals())
                    .add(row, ageMillis, interval.toMillis());
            if (ageMillis < BurnWindow.HOURS_6.length().toMillis()) {
                final long[] step = chartSteps
                        .computeIfAbsent(row.rank(), rank -> new TreeMap<>())
                        .computeIfAbsent(
                                nowMillis - ageMillis / CHART_STEP_MILLIS * CHART_STEP_MILLIS, time -> new long[2]);
                step[0] += row.eligible();
                step[1] += row.bad();
            }
        }
    }

    /**
     * Returns a report on all records added so far.
     *
     * @return report with the groups sorted by organisation and rank
     */
    public BurnReport report() {
        final List<BurnReport.Group> groups = new ArrayList<>();
        totalsByGroup.entrySet().stream()
                .sorted(Map.Entry.comparingByKey(
                        Comparator.comparing(GroupKey::organisation).thenComparing(GroupKey::rank)))
                .forEach(entry -> groups.add(group(entry.getKey(), entry.getValue())));
        final List<BurnReport.Series> series = new ArrayList<>();
        chartSteps.forEach((rank, stepTotals) -> series.add(new BurnReport.Series(
                rank,
                List.copyOf(stepTotals.keySet()),
                stepTotals.values().stream()
                        .map(step -> burnRate(step[0], step[1]))
                        .toList())));
        return new BurnReport(
                nowMillis, objective, earliestFromMillis == Long.MAX_VALUE ? 0 : earliestFromMillis, groups, series);
    }

    private BurnReport.Group group(GroupKey key, GroupTotals sum) {
        final Map<BurnWindow, BurnReport.Burn> windows = new EnumMap<>(BurnWindow.class);
        final Map<BurnWindow, Double> rates = new EnumMap<>(BurnWindow.class);
        for (final BurnWindow window : BurnWindow.values()) {
            final long requests = sum.requests[window.ordinal()];
            final long bad = sum.bad[window.ordinal()];
            if (requests > 0) {
                rates.put(window, burnRate(requests, bad));
                windows.put(window, new BurnReport.Burn(requests, bad, burnRate(requests, bad)));
            }
        }
        return new BurnReport.Group(
                key.organisation(),
                key.rank(),
                sum.targetMillis,
                windows,
                sum.refused,
                BurnAlert.raisedAlerts(rates, objective));
    }

    private double burnRate(long requests, long bad) {
        return requests == 0 ? 0 : (double) bad / requests / (1 - objective);
    }

    private record GroupKey(String organisation, Rank rank) {}

    private static final class GroupTotals {
        private final long[] requests = new long[BurnWindow.values().length];
        private final long[] bad = new long[BurnWindow.values().length];
        private final Map<String, Long> refused = new TreeMap<>();
        private long targetMillis;
        private long targetIntervalEndMillis;

        void add(IntervalRecord.Row row, long ageMillis, long intervalEndMillis) {
            for (final BurnWindow window : BurnWindow.values()) {
                if (ageMillis < window.length().toMillis()) {
                    requests[window.ordinal()] += row.eligible();
                    bad[window.ordinal()] += row.bad();
                }
            }
            row.refused().forEach((kind, count) -> refused.merge(kind, count, Long::sum));
            if (intervalEndMillis >= targetIntervalEndMillis) {
                targetIntervalEndMillis = intervalEndMillis;
                targetMillis = row.targetMillis();
            }
        }
    }
}
