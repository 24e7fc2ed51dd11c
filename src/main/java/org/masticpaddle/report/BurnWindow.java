package org.masticpaddle.report;

import java.time.Duration;

/** Window of the burn report. */
public enum BurnWindow {
    /** Five minutes. */
    MINUTES_5("5m", Duration.ofMinutes(5)),
    /** One hour. */
    HOUR_1("1h", Duration.ofHours(1)),
    /** Six hours. */
    HOURS_6("6h", Duration.ofHours(6)),
    /** Three days. */
    DAYS_3("3d", Duration.ofDays(3));

    private final String label;
    private final Duration length;

    BurnWindow(String label, Duration length) {
        this.label = label;
        this.length = length;
    }

    /**
     * Returns the name in reports.
     *
     * @return short name
     */
    public String label() {
        return label;
    }

    /**
     * Returns the length.
     *
     * @return length up to now
     */
    public Duration length() {
        return length;
    }
}
