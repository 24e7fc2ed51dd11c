package org.masticpaddle.fleet;

import java.util.EnumMap;
import java.util.Map;

/**
 * How long work takes at an upstream compared with the mean of its service, as the answers to one gateway show.
 *
 * <p>Load pattern: engines of one service run on unequal machines. What is observed is the machine and a wait that the gateway does
 * not know of, and the more requests an engine gets the longer that wait. Since a wait only adds to a time, times above the level count
 * less than those below it.
 *
 * <p>Invariants: a level is within limits, so that a few strange answers neither exclude an upstream nor attract all requests.
 * Observations fade after the last one, so that an upstream that gets no requests because of them is tried again. Not thread-safe:
 * confined to the thread of its owner.
 */
public final class ObservedSpeed {
    /** Limit of the observed ratio and its inverse; a ratio beyond it is clamped. */
    private static final double MAX_RATIO = 4;
    /** Number of observations that an average covers. */
    private static final double MAX_WEIGHT = 20;
    /** Time in which observations lose half of their weight. */
    private static final double HALF_LIFE_NANOS = 30e9;

    private final Map<Work, Average> averages = new EnumMap<>(Work.class);

    ObservedSpeed() {
        for (final Work work : Work.values()) {
            averages.put(work, new Average());
        }
    }

    /**
     * Records an answer.
     *
     * @param work kind of work that determined its time
     * @param ratio observed time, relative to the time at the other upstreams of the service; ignored unless above 0
     * @param now current time in nanoseconds
     */
    public void record(Work work, double ratio, long now) {
        if (ratio > 0) {
            averages.get(work)
                    .add(Math.log(Math.max(1 / MAX_RATIO, Math.min(MAX_RATIO, ratio))), work.information, now);
        }
    }

    void reset() {
        averages.values().forEach(Average::reset);
    }

    /**
     * Returns the level of the observations.
     *
     * @param work kind of work
     * @return logarithm of the ratio; 0 without observations
     */
    public double level(Work work) {
        return averages.get(work).mean;
    }

    /**
     * Returns how much is known of the level.
     *
     * @param work kind of work
     * @param now current time in nanoseconds
     * @return number of observations that the level still stands for, 0 if the present incarnation has given none
     */
    public double weight(Work work, long now) {
        return averages.get(work).weight(now);
    }

    /** Kind of work that takes a time of its own. */
    public enum Work {
        /** Reading a prompt. The observed time may include prompts of other gateways that were read before. */
        PREFILL(0.1),
        /** Generating the next event of a stream. */
        STEP(1),
        /** The whole answer of a plain service. The observed time may include a wait behind requests of other gateways. */
        PLAIN(0.3);

        private final double information;

        Work(double information) {
            this.information = information;
        }
    }

    /** Moving average of logarithms, whose weight fades. Not thread-safe. */
    private static final class Average {
        private double mean;
        private double weight;
        private long updatedNanos;

        void add(double value, double information, long now) {
            weight = Math.min(MAX_WEIGHT * information, weight(now) + information);
            mean += (value - mean) * information / weight;
            updatedNanos = now;
        }

        double weight(long now) {
            return weight == 0 ? 0 : weight * Math.pow(0.5, Math.max(0, now - updatedNanos) / HALF_LIFE_NANOS);
        }

        void reset() {
            mean = 0;
            weight = 0;
        }
    }
}
