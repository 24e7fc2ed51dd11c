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
 * Adds up interval records to a burn report. A record that is added twice counts once, if the records of a source come
 * in the order of the log. Not thread-safe.
 */
public final class BurnTotals {
    private static final long CHART_STEP_MILLIS = 300_000;

    private final long nowMillis;
    private final double objective;
    private final Map<String, Long> lastSequences = new HashMap<>();
    private final Map<GroupKey, GroupTotals> totalsByGroup = new HashMap<>();
    private final Map<Rank, TreeMap<Long, long[]>> chartSteps = new EnumMap<>(Rank.class);
    private long earliestFromMillis = Long.MAX_VALUE;

    /**
     * Creates totals without records.
     *
     * @param nowMillis end of all windows in milliseconds since 1970
     * @param objective target share, above 0 and below 1
     */
    public BurnTotals(long nowMillis, double objective) {
        if (!(objective > 0 && objective < 1)) {
            throw new IllegalArgumentException("objective is " + objective + ", expected above 0 and below 1");
        }
        this.nowMillis = nowMillis;
        this.objective = objective;
    }

    /**
     * Adds a record. One that ends after now or before the longest window is left out.
     *
     * @param interval the record
     */
    public void add(IntervalRecord interval) {
        final long last = lastSequences.getOrDefault(interval.source(), Long.MIN_VALUE);
        if (interval.sequence() <= last) {
            return;
        }
        lastSequences.put(interval.source(), interval.sequence());
        final long age = nowMillis - interval.toMillis();
        if (age < 0 || age >= BurnWindow.DAYS_3.length().toMillis()) {
            return;
        }
        earliestFromMillis = Math.min(earliestFromMillis, interval.fromMillis());
        for (final IntervalRecord.Row row : interval.rows()) {
            totalsByGroup.computeIfAbsent(new GroupKey(row.organisation(), row.rank()), key -> new GroupTotals())
                    .add(row, age, interval.toMillis());
            if (age < BurnWindow.HOURS_6.length().toMillis()) {
                final long[] step = chartSteps.computeIfAbsent(row.rank(), rank -> new TreeMap<>())
                        .computeIfAbsent(nowMillis - age / CHART_STEP_MILLIS * CHART_STEP_MILLIS, time -> new long[2]);
                step[0] += row.eligible();
                step[1] += row.bad();
            }
        }
    }

    /**
     * Returns the report on all records added so far.
     *
     * @return the report
     */
    public BurnReport report() {
        final List<BurnReport.Group> groups = new ArrayList<>();
        totalsByGroup.entrySet().stream()
                .sorted(Map.Entry.comparingByKey(
                        Comparator.comparing(GroupKey::organisation).thenComparing(GroupKey::rank)))
                .forEach(entry -> groups.add(group(entry.getKey(), entry.getValue())));
        final List<BurnReport.Series> series = new ArrayList<>();
        chartSteps.forEach((rank, points) -> series.add(new BurnReport.Series(
                rank,
                List.copyOf(points.keySet()),
                points.values().stream().map(step -> burnRate(step[0], step[1])).toList())));
        return new BurnReport(nowMillis, objective, earliestFromMillis == Long.MAX_VALUE ? 0 : earliestFromMillis, groups, series);
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
                key.organisation(), key.rank(), sum.targetMillis, windows, sum.refused, BurnAlert.raisedAlerts(rates, objective));
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
        private long targetToMillis;

        void add(IntervalRecord.Row row, long age, long at) {
            for (final BurnWindow window : BurnWindow.values()) {
                if (age < window.length().toMillis()) {
                    requests[window.ordinal()] += row.eligible();
                    bad[window.ordinal()] += row.bad();
                }
            }
            row.refused().forEach((kind, count) -> refused.merge(kind, count, Long::sum));
            if (at >= targetToMillis) {
                targetToMillis = at;
                targetMillis = row.targetMillis();
            }
        }
    }
}
