package org.masticpaddle.document;

import java.util.Objects;

import org.masticpaddle.wire.Rank;

/**
 * Declaration of a rank. Immutable and thread-safe.
 *
 * @param rank the rank
 * @param firstTokenMillis target for the first token, in milliseconds
 * @param timeoutMillis deadline of a request that states none, in milliseconds
 * @param floor share of the capacity that the rank keeps while higher ranks could use all of it, between 0 and 1
 */
public record RankPolicy(Rank rank, long firstTokenMillis, long timeoutMillis, double floor) {
    /** Checks the arguments. */
    public RankPolicy {
        Objects.requireNonNull(rank, "rank is null");
    }
}
