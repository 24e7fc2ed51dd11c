package org.masticpaddle.document;

import java.util.Objects;

import org.masticpaddle.wire.Rank;

/**
 * Declaration of a rank. Immutable and thread-safe.
 *
 * @param rank rank that the policy applies to
 * @param firstTokenMillis target for the time to the first token, in milliseconds
 * @param timeoutMillis timeout of a request without a deadline of its own, in milliseconds
 * @param floor share of the capacity that is reserved for the rank under load of higher ranks, between 0 and 1
 */
public record RankPolicy(Rank rank, long firstTokenMillis, long timeoutMillis, double floor) {
    /** Checks the arguments. */
    public RankPolicy {
        Objects.requireNonNull(rank, "rank is null");
    }
}
