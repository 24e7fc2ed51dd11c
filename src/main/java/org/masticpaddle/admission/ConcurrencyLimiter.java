package org.masticpaddle.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import org.masticpaddle.wire.LoadReport;
import org.masticpaddle.wire.Rank;

/**
 * Adaptive limit on the number of requests that one entry keeps in flight to a pool.
 *
 * <p>All entries that share a pool adapt their limits to the same load reports, so that the load of each sidecar
 * converges to its slots plus a short queue. Invariant: the limit is at least 1. Not thread-safe: one duty owns it.
 */
public final class ConcurrencyLimiter {
    /**
     * Target load per slot. A sidecar queue of an eighth of the slots covers the network delay between two requests.
     */
    private static final double OCCUPANCY_TARGET = 1.125;

    /**
     * Ratio of the average to the best time per token above which an engine is saturated, even if it reports free
     * slots.
     */
    private static final double SATURATION_LATENCY_RATIO = 2;

    /**
     * Factor by which a rank's share of the requests in flight may exceed its floor. The floor is a share of tokens,
     * and the number of requests in flight varies around it: with a factor of 1.25, a rank lost a tenth of its floor.
     */
    static final double FLOOR_HEADROOM_FACTOR = 2;

    /** Age above which a load report no longer counts. */
    private static final long MAX_REPORT_AGE_NANOS = 10_000_000_000L;
    /** Shortest interval between two steps on the reports of one sidecar. */
    private static final long MIN_STEP_INTERVAL_NANOS = 100_000_000L;
    /** Shortest interval between two steps on the reports of one sidecar, in mean service times. */
    private static final double STEP_INTERVAL_SERVICE_TIMES = 0.5;
    /** Fraction of the difference to a lower target limit that a full step covers. */
    private static final double DECREASE_GAIN = 0.5;
    /** Fraction of the difference to a higher target limit that a full step of all entries covers. */
    private static final double INCREASE_GAIN = 0.5;
    /** Fraction of the limit that must be in use before the limit increases. */
    private static final double MIN_UTILISATION_FOR_INCREASE = 0.8;
    /** Weight of the newest request in the moving average of the time per token. */
    private static final double LATENCY_SMOOTHING_FACTOR = 0.1;

    private record Report(LoadReport load, long receivedNanos) {}

    private final Map<String, Report> reports = new HashMap<>();
    private int entryCount = 1;
    private double minLimit;
    private double currentLimit;
    private double bestNanosPerToken = Double.POSITIVE_INFINITY;
    private double averageNanosPerToken;

    private ConcurrencyLimiter(double initialLimit, double minLimit) {
        this.currentLimit = initialLimit;
        this.minLimit = minLimit;
    }

    /**
     * Creates a limiter.
     *
     * @param initial limit before the first load report, at least 1
     * @return limiter for one pool, which assumes a single entry until {@link #setEntryCount} is called
     * @throws IllegalArgumentException if {@code initial} is below 1
     */
    public static ConcurrencyLimiter of(int initial) {
        if (initial < 1) {
            throw new IllegalArgumentException("initial is below 1: " + initial);
        }
        return new ConcurrencyLimiter(initial, 1);
    }

    /**
     * Adapts the limit to a load report. A report is ignored if the previous one of the same sidecar is too recent and
     * its readiness has not changed.
     *
     * @param sidecar instance name of the sidecar
     * @param load report of the sidecar
     * @param inFlight requests that this entry has in flight to the pool
     * @param now time in nanoseconds
     */
    public void recordLoadReport(String sidecar, LoadReport load, int inFlight, long now) {
        Objects.requireNonNull(sidecar, "sidecar is null");
        Objects.requireNonNull(load, "load is null");
        final Report previous = reports.get(sidecar);
        // The sidecars show the effect of a step only after a service time. Faster steps would add up and overshoot.
        final long minIntervalNanos = Math.max(
                MIN_STEP_INTERVAL_NANOS, (long) (load.meanServiceMillis() * 1e6 * STEP_INTERVAL_SERVICE_TIMES));
        if (previous != null
                && now - previous.receivedNanos() < minIntervalNanos
                && previous.load().ready() == load.ready()) {
            return;
        }
        reports.put(sidecar, new Report(load, now));
        reports.values().removeIf(report -> now - report.receivedNanos() > MAX_REPORT_AGE_NANOS);
        int slots = 0;
        int occupied = 0;
        for (final Report report : reports.values()) {
            if (report.load().ready() && !report.load().draining()) {
                slots += report.load().slots();
                occupied += report.load().running() + report.load().queued();
            }
        }
        if (slots == 0) {
            currentLimit = minLimit;
            return;
        }
        // Each report makes 1/n of a step, so that one report from each of the n sidecars makes a full step.
        final double stepFraction = 1.0 / reports.size();
        final double target = slots * OCCUPANCY_TARGET * latencyFactor();
        final double equalShare = target / entryCount;
        // The load of the other entries is left to them, but no entry falls below an equal share of the target. In an
        // overload, all entries return to that share.
        final double occupiedByOthers = Math.max(0, occupied - inFlight);
        final double targetLimit = Math.max(equalShare, target - occupiedByOthers);
        if (targetLimit < currentLimit) {
            currentLimit += stepFraction * DECREASE_GAIN * (targetLimit - currentLimit);
        } else if (inFlight >= currentLimit * MIN_UTILISATION_FOR_INCREASE) {
            // All entries see the same free slots, so each takes only its share of them.
            currentLimit += stepFraction
                    * Math.max(1, Math.min(currentLimit, targetLimit - currentLimit) * INCREASE_GAIN / entryCount);
        }
        minLimit = Math.max(1, equalShare);
        currentLimit = Math.max(minLimit, Math.min(currentLimit, slots * OCCUPANCY_TARGET));
    }

    /**
     * Sets the number of entries that share the pool. The limit never falls below an equal share of the slots, so that
     * an entry that lost slots to the others still makes progress and recovers its share.
     *
     * @param count number of entries including this one; values below 1 count as 1
     */
    public void setEntryCount(int count) {
        entryCount = Math.max(1, count);
    }

    /**
     * Updates the average time per token with a completed request.
     *
     * @param nanos time from dispatch to the last token, in nanoseconds
     * @param tokens tokens that the request used; values below 1 count as 1
     */
    public void recordCompletion(long nanos, long tokens) {
        final double sample = nanos / (double) Math.max(1, tokens);
        averageNanosPerToken = averageNanosPerToken == 0
                ? sample
                : averageNanosPerToken + LATENCY_SMOOTHING_FACTOR * (sample - averageNanosPerToken);
        // The best value grows slowly, so that it follows a lasting change of the model or its load.
        bestNanosPerToken = Math.min(bestNanosPerToken * 1.0005, averageNanosPerToken);
    }

    /** Decreases the limit by a tenth because a sidecar rejected a dispatch for lack of slots. */
    public void recordRejection() {
        currentLimit = Math.max(minLimit, currentLimit * 0.9);
    }

    /**
     * Returns whether one more request may be dispatched.
     *
     * @param rank rank of the request
     * @param floor guaranteed minimum share of the rank, between 0 and 1
     * @param inFlight requests in flight now
     * @param rankInFlight requests of the rank in flight now
     * @return {@code true} if the request may be dispatched
     */
    public boolean allows(Rank rank, double floor, int inFlight, int rankInFlight) {
        if (inFlight >= limit()) {
            return false;
        }
        // Sidecars serve their queues in order of arrival, so queued requests of lower ranks would delay urgent ones.
        // Only a rank below its floor may use these queues: if it could not, urgent work that fills all slots would
        // leave it less than its floor.
        return rank == Rank.URGENT
                || inFlight < Math.max(minLimit, Math.floor(currentLimit / OCCUPANCY_TARGET))
                || rankInFlight < floor * limit() * FLOOR_HEADROOM_FACTOR;
    }

    /**
     * Returns the concurrency limit.
     *
     * @return largest number of requests in flight, at least 1
     */
    public int limit() {
        return (int) Math.floor(currentLimit);
    }

    private double latencyFactor() {
        return averageNanosPerToken == 0
                ? 1
                : Math.max(0.5, Math.min(1, SATURATION_LATENCY_RATIO * bestNanosPerToken / averageNanosPerToken));
    }
}
