package org.masticpaddle.fleet;

/**
 * Work factors that an upstream reports, and what they say of the time that work takes there now.
 *
 * <p>Load pattern: the machine of an upstream is slowed down for moments by what else runs on it, and a gateway hears of an upstream
 * less often than that changes. The newest figure is therefore believed only as far as its age permits, and the level of all
 * figures for the rest.
 *
 * <p>Invariants: all figures are within limits, so that a wrong one cannot exclude an upstream or attract all requests. Figures
 * that arrive together count as one, since they measure the same moment. The level fades after the last one, so that an upstream that
 * gets no requests because of it is tried again. Not thread-safe: confined to the thread of its owner.
 */
public final class WorkPace {
    /** Lowest work factor that is believed; a lower one is clamped. */
    private static final double MIN_FACTOR = 1 / 8.0;
    /** Highest work factor that is believed; a higher one is clamped. */
    private static final double MAX_FACTOR = 8;
    /** Time in which the part that is believed of the newest figure falls to 1/e. */
    private static final double BELIEVED_NANOS = 250e6;
    /** Number of independent figures that the level averages. */
    private static final double MAX_WEIGHT = 20;

    /** Time in which the figures lose half of their weight. */
    private static final double HALF_LIFE_NANOS = 30e9;

    private double weight;
    private double level = 1;
    private double newest = 1;
    private long newestNanos;

    WorkPace() {}

    void record(double factor, long now) {
        final double figure = Math.max(MIN_FACTOR, Math.min(MAX_FACTOR, factor));
        final double figureWeight = weight == 0 ? 1 : 1 - freshness(now);
        weight = Math.min(MAX_WEIGHT, weight(now) + figureWeight);
        level += figureWeight / weight * (figure - level);
        newest = figure;
        newestNanos = now;
    }

    /** Forgets all figures. */
    void reset() {
        weight = 0;
        level = 1;
    }

    /**
     * Returns how much is known of the level.
     *
     * @param now current time in nanoseconds
     * @return number of independent figures that it still stands for, 0 if the present incarnation has reported none
     */
    public double weight(long now) {
        return weight == 0 ? 0 : weight * Math.pow(0.5, Math.max(0, now - newestNanos) / HALF_LIFE_NANOS);
    }

    /**
     * Returns the mean of the figures.
     *
     * @return factor of the time that work usually takes; 1 without a figure
     */
    public double level() {
        return level;
    }

    /**
     * Returns the factor that is expected now.
     *
     * @param expectedLevel factor that is expected for as much as the newest figure no longer holds
     * @param now current time in nanoseconds
     * @return a factor between the newest figure and the level, nearer to the level the older that figure is
     */
    public double factor(double expectedLevel, long now) {
        return expectedLevel + (newest - expectedLevel) * freshness(now);
    }

    private double freshness(long now) {
        return weight == 0 ? 0 : Math.exp(-Math.max(0, now - newestNanos) / BELIEVED_NANOS);
    }
}
