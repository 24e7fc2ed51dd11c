package org.masticpaddle.fleet;

import java.util.OptionalInt;

/**
 * Newest load report of an upstream, and what it says of the present load.
 *
 * <p>Invariant: a report older than a limit counts as none. Not thread-safe: confined to the thread of its owner.
 */
public final class LastLoadReport {
    /** Age beyond which a report is ignored, about the duration of a request of the shortest kind. */
    private static final long MAX_AGE_NANOS = 2_000_000_000L;
    /** Time that lies before all others; differences to it do not overflow. */
    private static final long NEVER = Long.MIN_VALUE / 2;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private ReportedLoad load = new ReportedLoad(0, 0, 0);
    private long receivedNanos = NEVER;
    private final WorkPace workPace = new WorkPace();
    private int ownInFlight;

    LastLoadReport() {}

    void record(ReportedLoad newest, int ownRequestsInFlight, long now) {
        load = newest;
        ownInFlight = ownRequestsInFlight;
        receivedNanos = now;
        newest.workFactor().ifPresent(factor -> workPace.record(factor, now));
    }

    /** Forgets the report; the number of slots is kept until the next one. */
    void reset() {
        receivedNanos = NEVER;
        workPace.reset();
    }

    /**
     * Returns what the upstream reported of the time that work takes there.
     *
     * @return live object
     */
    public WorkPace workPace() {
        return workPace;
    }

    /** Returns the number of slots in the last report, 0 if it has none. */
    int slots() {
        return load.slots();
    }

    /**
     * Estimates the number of requests in flight from other gateways: the requests in the report, less those of this gateway at
     * that time.
     *
     * @param now current time in nanoseconds
     * @return number of requests; 0 without a recent report
     */
    public int inFlightOfOtherGateways(long now) {
        return recent(now) ? Math.max(0, load.running() + load.waiting() - ownInFlight) : 0;
    }

    /**
     * Returns the number of requests in flight from all gateways.
     *
     * @param now current time in nanoseconds
     * @return requests that run or wait, the one that was answered with the report included; empty without a recent report
     */
    public OptionalInt inFlightOfAllGateways(long now) {
        return recent(now) ? OptionalInt.of(load.running() + load.waiting()) : OptionalInt.empty();
    }

    /**
     * Returns the length of the upstream's queue.
     *
     * @param now current time in nanoseconds
     * @return number of waiting requests; 0 without a recent report
     */
    public int waiting(long now) {
        return recent(now) ? load.waiting() : 0;
    }

    /**
     * Returns how much the report still says about the present load.
     *
     * @param now current time in nanoseconds
     * @return 1 for a new report, falling to 0 at the age beyond which reports are ignored, and 0 without a report
     */
    public double freshness(long now) {
        return receivedNanos == NEVER ? 0 : Math.max(0, 1 - (double) (now - receivedNanos) / MAX_AGE_NANOS);
    }

    /**
     * Returns the age of the report.
     *
     * @param now current time in nanoseconds
     * @return age in milliseconds; -1 if the present incarnation has not reported
     */
    public long ageMillis(long now) {
        return receivedNanos == NEVER ? -1 : (now - receivedNanos) / NANOS_PER_MILLI;
    }

    private boolean recent(long now) {
        return now - receivedNanos <= MAX_AGE_NANOS;
    }
}
