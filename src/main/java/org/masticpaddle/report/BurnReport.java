package org.masticpaddle.report;

import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.masticpaddle.wire.Rank;

/**
 * Burn of the error budgets at one moment. Immutable.
 *
 * @param atMillis end of all windows in milliseconds since 1970
 * @param objective share of requests that should meet their target
 * @param coveredFromMillis start of the earliest interval read, 0 if none; a window that starts earlier is incomplete
 * @param groups organisations by rank, by name and rank
 * @param series burn rate over time by rank, for a chart
 */
public record BurnReport(
        long atMillis, double objective, long coveredFromMillis, List<Group> groups, List<Series> series) {
    /** Copies the lists. */
    public BurnReport {
        groups = List.copyOf(groups);
        series = List.copyOf(series);
    }

    /**
     * Tells whether any group has an alert.
     *
     * @return {@code true} if so
     */
    public boolean hasAlerts() {
        return groups.stream().anyMatch(group -> !group.alerts().isEmpty());
    }

    /**
     * One organisation in one rank.
     *
     * @param organisation organisation
     * @param rank rank
     * @param targetMillis newest known target for the first token
     * @param windows figures by window; none for a window without requests
     * @param refused refusals of the longest window by kind
     * @param alerts alerts that are raised
     */
    public record Group(
            String organisation,
            Rank rank,
            long targetMillis,
            Map<BurnWindow, Burn> windows,
            Map<String, Long> refused,
            List<BurnAlert> alerts) {
        /** Copies the collections. */
        public Group {
            windows = Map.copyOf(windows);
            refused = Map.copyOf(refused);
            alerts = List.copyOf(alerts);
        }
    }

    /**
     * Figures of one window.
     *
     * @param requests requests that count
     * @param bad of these, those that missed their target
     * @param rate share of bad ones, divided by the error budget
     */
    public record Burn(long requests, long bad, double rate) {}

    /**
     * Burn rate of one rank over time.
     *
     * @param rank rank
     * @param times ends of the steps in milliseconds since 1970
     * @param rates burn rate of each step
     */
    public record Series(Rank rank, List<Long> times, List<Double> rates) {
        /** Checks the arguments and copies the lists. */
        public Series {
            Objects.requireNonNull(rank, "rank is null");
            times = List.copyOf(times);
            rates = List.copyOf(rates);
        }
    }
}
