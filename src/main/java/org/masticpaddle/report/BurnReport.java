package org.masticpaddle.report;

import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.masticpaddle.wire.Rank;

/**
 * Burn rates of the error budgets at a point in time. Written as JSON under the names of its components. Immutable and
 * thread-safe.
 *
 * @param atMillis end of all windows in milliseconds since 1970
 * @param objective share of requests that should meet their target, above 0 and below 1
 * @param coveredFromMillis start of the earliest interval read in milliseconds since 1970, 0 if none; a window that
 *     starts earlier is incomplete
 * @param groups burn rates by organisation and rank, in this order
 * @param series burn rate of each rank over time, for a chart
 */
public record BurnReport(
        long atMillis, double objective, long coveredFromMillis, List<Group> groups, List<Series> series) {
    /** Copies the lists. */
    public BurnReport {
        groups = List.copyOf(groups);
        series = List.copyOf(series);
    }

    /**
     * Returns whether any group has an alert.
     *
     * @return {@code true} if at least one alert is raised
     */
    public boolean hasAlerts() {
        return groups.stream().anyMatch(group -> !group.alerts().isEmpty());
    }

    /**
     * Burn rates of the requests of one organisation in one rank.
     *
     * @param organisation name of the organisation
     * @param rank rank of the requests
     * @param targetMillis latest target for the time to the first token, in milliseconds
     * @param windows burn by window, without the windows that have no requests
     * @param refused number of failed and rejected requests in the longest window by kind of error
     * @param alerts raised alerts, the fastest burn first
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
     * Burn of the error budget in one window.
     *
     * @param requests number of requests that count for the service level
     * @param bad number of these that missed their target
     * @param rate burn rate: share of bad requests, divided by the error budget (1 minus the objective)
     */
    public record Burn(long requests, long bad, double rate) {}

    /**
     * Burn rate of one rank over time.
     *
     * @param rank rank of the requests
     * @param times ends of the time steps in milliseconds since 1970, ascending
     * @param rates burn rate of each time step
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
