package org.masticpaddle.report;

import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * Multi-window burn rate alert. It is raised while the burn rate reaches a threshold over both a long and a short
 * window; the short window clears the alert soon after its cause ends.
 */
public enum BurnAlert {
    /** Consumption of 2% of a 30-day error budget in one hour. */
    FAST(BurnWindow.HOUR_1, BurnWindow.MINUTES_5, 14.4),
    /** Consumption of 5% of a 30-day error budget in six hours. */
    MEDIUM(BurnWindow.HOURS_6, BurnWindow.HOUR_1, 6),
    /** Consumption of 10% of a 30-day error budget in three days. */
    SLOW(BurnWindow.DAYS_3, BurnWindow.HOURS_6, 1);

    // The burn rate cannot exceed 1 / (1 - objective), for example 10 at an objective of 0.9. Thresholds are limited to
    // this share of it, because a higher one would never raise the alert.
    private static final double MAX_SHARE_OF_HIGHEST_BURN_RATE = 0.9;

    private final BurnWindow longWindow;
    private final BurnWindow shortWindow;
    private final double threshold;

    BurnAlert(BurnWindow longer, BurnWindow shorter, double threshold) {
        this.longWindow = longer;
        this.shortWindow = shorter;
        this.threshold = threshold;
    }

    /**
     * Returns the alerts that the burn rates of a group raise.
     *
     * @param rates burn rate by window; a missing window counts as 0
     * @param objective share of requests that should meet their target, above 0 and below 1
     * @return raised alerts, the fastest burn first
     */
    public static List<BurnAlert> raisedAlerts(Map<BurnWindow, Double> rates, double objective) {
        return Arrays.stream(values())
                .filter(alert -> alert.raised(rates, objective))
                .toList();
    }

    /**
     * Returns the burn rate that both windows must reach to raise the alert.
     *
     * @param objective share of requests that should meet their target, above 0 and below 1
     * @return threshold, at most 0.9 of the highest possible burn rate
     */
    public double threshold(double objective) {
        return Math.min(threshold, MAX_SHARE_OF_HIGHEST_BURN_RATE / (1 - objective));
    }

    private boolean raised(Map<BurnWindow, Double> rates, double objective) {
        final double effectiveThreshold = threshold(objective);
        return rates.getOrDefault(longWindow, 0.0) >= effectiveThreshold
                && rates.getOrDefault(shortWindow, 0.0) >= effectiveThreshold;
    }
}
