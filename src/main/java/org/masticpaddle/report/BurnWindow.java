package org.masticpaddle.report;

import java.time.Duration;

/** Time window up to the present over which a burn rate is computed. */
public enum BurnWindow {
    /** The last five minutes. */
    MINUTES_5("5m", Duration.ofMinutes(5)),
    /** The last hour. */
    HOUR_1("1h", Duration.ofHours(1)),
    /** The last six hours. */
    HOURS_6("6h", Duration.ofHours(6)),
    /** The last three days. */
    DAYS_3("3d", Duration.ofDays(3));

    private final String label;
    private final Duration length;

    BurnWindow(String label, Duration length) {
        this.label = label;
        this.length = length;
    }

    /**
     * Returns the label used in reports.
     *
     * @return number and unit, such as {@code 5m}
     */
    public String label() {
        return label;
    }

    /**
     * Returns the length of the window.
     *
     * @return length, a positive duration
     */
    public Duration length() {
        return length;
    }
}
