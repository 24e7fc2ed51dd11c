package org.masticpaddle.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import org.masticpaddle.wire.LoadReport;
import org.masticpaddle.wire.Rank;

/**
 * Adaptive bound on the requests that one entry keeps in flight to a pool.
 *
 * <p>The entries that share a pool scale their bounds by the same reports, so that the work at each sidecar converges
 * to its slots and a short queue. Not thread-safe: one duty owns it.
 */
public final class ConcurrencyLimiter {
    /** A sidecar queue of an eighth of the slots covers the network delay between two requests. */
    private static final double OCCUPANCY_TARGET = 1.125;

    /** A service time of twice the best one means that the engine is saturated, whatever its slots say. */
    private static final double LATENCY_TOLERANCE = 2;

    /** Places in flight vary around the share of tokens, so a tight bound would cut the floor; 1.25 cost a tenth of it. */
    static final double FLOOR_SLACK = 2;

    private static final long REPORT_LIFETIME_NANOS = 10_000_000_000L;
    private static final long LEAST_STEP_NANOS = 100_000_000L;
    private static final double STEP_SERVICES = 0.5;
    private static final double SHRINKING = 0.5;
    private static final double GROWTH = 0.5;
    private static final double USED = 0.8;
    private static final double SMOOTHING = 0.1;

    private record Report(LoadReport load, long received) {}

    private final Map<String, Report> reports = new HashMap<>();
    private int setEntryCount = 1;
    private double least;
    private double bound;
    private double bestPerToken = Double.POSITIVE_INFINITY;
    private double perToken;

    private ConcurrencyLimiter(double initial, double least) {
        this.bound = initial;
        this.least = least;
    }

    /**
     * Creates a bound.
     *
     * @param initial requests in flight before the first report, at least 1
     * @return the bound
     */
    public static ConcurrencyLimiter of(int initial) {
        if (initial < 1) {
            throw new IllegalArgumentException("initial is below 1: " + initial);
        }
        return new ConcurrencyLimiter(initial, 1);
    }

    /**
     * Learns from a load report.
     *
     * @param sidecar instance name of the sidecar
     * @param load its report
     * @param inFlight requests that this entry has in flight to the pool
     * @param now time in nanoseconds
     */
    public void recordLoadReport(String sidecar, LoadReport load, int inFlight, long now) {
        Objects.requireNonNull(sidecar, "sidecar is null");
        Objects.requireNonNull(load, "load is null");
        final Report known = reports.get(sidecar);
        // A step takes a service time to show at the sidecars; steps that come faster add up and overshoot.
        final long interval = Math.max(LEAST_STEP_NANOS, (long) (load.meanServiceMillis() * 1e6 * STEP_SERVICES));
        if (known != null && now - known.received() < interval && known.load().ready() == load.ready()) {
            return;
        }
        reports.put(sidecar, new Report(load, now));
        reports.values().removeIf(report -> now - report.received() > REPORT_LIFETIME_NANOS);
        int slots = 0;
        int occupied = 0;
        for (final Report report : reports.values()) {
            if (report.load().ready() && !report.load().draining()) {
                slots += report.load().slots();
                occupied += report.load().running() + report.load().queued();
            }
        }
        if (slots == 0) {
            bound = least;
            return;
        }
        // One report of many moves the bound by its part, so that a round of reports makes one full step.
        final double step = 1.0 / reports.size();
        final double target = slots * OCCUPANCY_TARGET * latencyFactor();
        final double equal = target / setEntryCount;
        // What others hold is theirs, but nobody is kept below an equal part: in an overload all return to it.
        final double others = Math.max(0, occupied - inFlight);
        final double wanted = Math.max(equal, target - others);
        if (wanted < bound) {
            bound += step * SHRINKING * (wanted - bound);
        } else if (inFlight >= bound * USED) {
            // All entries see the same free places, so each takes only its part of them.
            bound += step * Math.max(1, Math.min(bound, wanted - bound) * GROWTH / setEntryCount);
        }
        least = Math.max(1, equal);
        bound = Math.max(least, Math.min(bound, slots * OCCUPANCY_TARGET));
    }

    /**
     * Sets the number of entries that share the pool. The bound never falls below an equal part of the places, so that an
     * entry that was pushed back by the others gets work done and finds its share again.
     *
     * @param count entries, this one included
     */
    public void setEntryCount(int count) {
        setEntryCount = Math.max(1, count);
    }

    /**
     * Learns from the end of a request.
     *
     * @param nanos time from dispatch to the last token, in nanoseconds
     * @param tokens tokens that it used, at least 1
     */
    public void recordCompletion(long nanos, long tokens) {
        final double sample = nanos / (double) Math.max(1, tokens);
        perToken = perToken == 0 ? sample : perToken + SMOOTHING * (sample - perToken);
        // The best value creeps up, so that a lasting change of the model or its load is learnt.
        bestPerToken = Math.min(bestPerToken * 1.0005, perToken);
    }

    /** Learns that a sidecar refused a dispatch because it was full. */
    public void recordRejection() {
        bound = Math.max(least, bound * 0.9);
    }

    /**
     * Tells whether one more request may be dispatched.
     *
     * @param rank rank of the request
     * @param floor floor of the rank, between 0 and 1
     * @param inFlight requests in flight now
     * @param rankInFlight those of the rank
     * @return {@code true} if it may
     */
    public boolean allows(Rank rank, double floor, int inFlight, int rankInFlight) {
        if (inFlight >= limit()) {
            return false;
        }
        // The queue at the sidecars is in order of arrival, so lower ranks in it would delay urgent work. Only a rank
        // below its floor of the places may use it, else urgent work that fills all places would take the floor away.
        return rank == Rank.URGENT
                || inFlight < Math.max(least, Math.floor(bound / OCCUPANCY_TARGET))
                || rankInFlight < floor * limit() * FLOOR_SLACK;
    }

    /**
     * Returns the bound.
     *
     * @return largest number of requests in flight, at least 1
     */
    public int limit() {
        return (int) Math.floor(bound);
    }

    private double latencyFactor() {
        return perToken == 0 ? 1 : Math.max(0.5, Math.min(1, LATENCY_TOLERANCE * bestPerToken / perToken));
    }
}
