package org.masticpaddle.admission;

import java.util.Objects;
import java.util.Optional;

/** Result of adding a request to an admission queue. */
public sealed interface EnqueueResult {
    /**
     * The request is waiting.
     *
     * @param expectedWaitNanos expected wait until its dispatch, in nanoseconds
     * @param displaced rejection of the waiting request that it displaced, empty if the queue was not full
     */
    record Queued(long expectedWaitNanos, Optional<Rejection> displaced) implements EnqueueResult {
        /** Checks the arguments. */
        public Queued {
            Objects.requireNonNull(displaced, "displaced is null");
        }
    }

    /**
     * The request was rejected and will not run.
     *
     * @param rejection reason of the rejection and time to retry
     */
    record Rejected(Rejection rejection) implements EnqueueResult {
        /** Checks the arguments. */
        public Rejected {
            Objects.requireNonNull(rejection, "rejection is null");
        }
    }
}
