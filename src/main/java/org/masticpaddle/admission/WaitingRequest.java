package org.masticpaddle.admission;

import java.util.Objects;

import org.masticpaddle.wire.Rank;

/**
 * Request in the admission queue of its pool. Immutable and thread-safe.
 *
 * @param id id that is unique among the waiting and running requests
 * @param organisation organisation that pays for the request
 * @param weight fair queueing weight of the organisation, finite and above 0
 * @param rank priority class of the request
 * @param pool service whose upstreams can run the request
 * @param version version chosen for the request, or the empty string for a plain service
 * @param expectedTokens expected prompt and generated tokens, at least 1; a plain request counts as a fixed number
 * @param arrivalNanos time of arrival, in nanoseconds of a monotonic clock
 * @param deadlineNanos time after which the answer is of no use, on the same clock
 * @param expectedRunNanos expected time from dispatch until the answer is of use, in nanoseconds; 0 if unknown
 * @param partiallyRun whether part of the request ran before it was preempted
 */
public record WaitingRequest(
        long id,
        String organisation,
        double weight,
        Rank rank,
        String pool,
        String version,
        long expectedTokens,
        long arrivalNanos,
        long deadlineNanos,
        long expectedRunNanos,
        boolean partiallyRun) {
    /** Checks the arguments. */
    public WaitingRequest {
        Objects.requireNonNull(organisation, "organisation is null");
        Objects.requireNonNull(rank, "rank is null");
        Objects.requireNonNull(pool, "pool is null");
        Objects.requireNonNull(version, "version is null");
        if (!(weight > 0) || Double.isInfinite(weight)) {
            throw new IllegalArgumentException("weight is not finite and above 0: " + weight);
        }
        if (expectedTokens < 1) {
            throw new IllegalArgumentException("expectedTokens is below 1: " + expectedTokens);
        }
        if (expectedRunNanos < 0) {
            throw new IllegalArgumentException("expectedRunNanos is negative: " + expectedRunNanos);
        }
    }

    /**
     * Returns the request that resumes this one after its preemption.
     *
     * @param tokensLeft expected tokens that are left, at least 1
     * @param runNanosLeft expected run time that is left, in nanoseconds
     * @return request with the same id, arrival and deadline, marked as partially run
     */
    public WaitingRequest resumed(long tokensLeft, long runNanosLeft) {
        return new WaitingRequest(
                id,
                organisation,
                weight,
                rank,
                pool,
                version,
                tokensLeft,
                arrivalNanos,
                deadlineNanos,
                runNanosLeft,
                true);
    }

    /**
     * Returns the latest time at which a dispatch still allows an answer before the deadline.
     *
     * @return time in nanoseconds of the monotonic clock
     */
    public long latestStartNanos() {
        return deadlineNanos - expectedRunNanos;
    }
}
