package org.masticpaddle.report;

import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * Multi-window alert: the error budget burns too fast over a long window, and still does over a short one, so that the
 * alert ends soon after its cause.
 */
public enum BurnAlert {
    /** Spends 2% of a budget of 30 days in one hour. */
    FAST(BurnWindow.HOUR_1, BurnWindow.MINUTES_5, 14.4),
    /** Spends 5% of a budget of 30 days in six hours. */
    MEDIUM(BurnWindow.HOURS_6, BurnWindow.HOUR_1, 6),
    /** Spends 10% of a budget of 30 days in three days. */
    SLOW(BurnWindow.DAYS_3, BurnWindow.HOURS_6, 1);

    // The burn rate cannot exceed 1 / (1 - objective), 10 at an objective of 0.9; a threshold above it never alerts.
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
     * Finds the alerts of a group.
     *
     * @param rates burn rate by window
     * @param objective target share
     * @return alerts, the fastest first
     */
    public static List<BurnAlert> raisedAlerts(Map<BurnWindow, Double> rates, double objective) {
        return Arrays.stream(values())
                .filter(alert -> alert.raised(rates, objective))
                .toList();
    }

    /**
     * Returns the burn rate from which both windows raise the alert.
     *
     * @param objective target share
     * @return threshold
     */
    public double threshold(double objective) {
        return Math.min(threshold, MAX_SHARE_OF_HIGHEST_BURN_RATE / (1 - objective));
    }

    private boolean raised(Map<BurnWindow, Double> rates, double objective) {
        final double limit = threshold(objective);
        return rates.getOrDefault(longWindow, 0.0) >= limit && rates.getOrDefault(shortWindow, 0.0) >= limit;
    }
}
