package org.masticpaddle.admission;

import java.util.Objects;
import java.util.Optional;

/** Decision on a request that asks for a place in a queue. */
public sealed interface EnqueueResult {
    /**
     * The request waits.
     *
     * @param expectedWaitNanos expected wait, in nanoseconds
     * @param displaced the waiting request that lost its place, if the queue was full
     */
    record Queued(long expectedWaitNanos, Optional<Rejection> displaced) implements EnqueueResult {
        /** Checks the arguments. */
        public Queued {
            Objects.requireNonNull(displaced, "displaced is null");
        }
    }

    /**
     * The request was refused and will not run.
     *
     * @param rejection reason and time of a new try
     */
    record Rejected(Rejection rejection) implements EnqueueResult {
        /** Checks the arguments. */
        public Rejected {
            Objects.requireNonNull(rejection, "refusal is null");
        }
    }
}
