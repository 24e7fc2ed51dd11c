package org.masticpaddle.admission;

import java.util.Objects;

import org.masticpaddle.wire.Rank;

/**
 * A request that asks for a place in the queue of its pool. Immutable and thread-safe.
 *
 * @param id identity, unique among the requests that wait or run
 * @param organisation organisation that pays
 * @param weight weight of the organisation in the fair division, above 0
 * @param rank rank
 * @param pool service whose upstreams can run it
 * @param version version chosen for it, or the empty string for a plain service
 * @param expectedTokens expected prompt and generated tokens, at least 1; a plain call counts as a fixed number
 * @param arrivalNanos arrival, in nanoseconds
 * @param deadlineNanos time after which the answer is worthless, in nanoseconds
 * @param expectedRunNanos expected time from dispatch to the useful answer, or 0 if unknown
 * @param partiallyRun whether a part of it ran before it was cancelled for more urgent work
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
            throw new IllegalArgumentException("weight is not above 0: " + weight);
        }
        if (expectedTokens < 1) {
            throw new IllegalArgumentException("tokens is below 1: " + expectedTokens);
        }
        if (expectedRunNanos < 0) {
            throw new IllegalArgumentException("runNanos is negative: " + expectedRunNanos);
        }
    }

    /**
     * Makes the request of a stream that was cancelled and is to be resumed.
     *
     * @param tokensLeft expected tokens that are left, at least 1
     * @param runNanosLeft expected time to run that is left
     * @return request with the same id, arrival and deadline, marked as begun
     */
    public WaitingRequest resumed(long tokensLeft, long runNanosLeft) {
        return new WaitingRequest(
                id, organisation, weight, rank, pool, version, tokensLeft, arrivalNanos, deadlineNanos, runNanosLeft, true);
    }

    /**
     * Returns the last moment at which a dispatch can still be useful.
     *
     * @return time in nanoseconds
     */
    public long latestStart() {
        return deadlineNanos - expectedRunNanos;
    }
}
