package org.masticpaddle.admission;

import java.util.Objects;
import java.util.Optional;

/** Decision on a request that asks for a place in a queue. */
public sealed interface Offer {
    /**
     * The request waits.
     *
     * @param waitNanos expected wait, in nanoseconds
     * @param displaced the waiting request that lost its place, if the queue was full
     */
    record Queued(long waitNanos, Optional<Refusal> displaced) implements Offer {
        /** Checks the arguments. */
        public Queued {
            Objects.requireNonNull(displaced, "displaced is null");
        }
    }

    /**
     * The request was refused and will not run.
     *
     * @param refusal reason and time of a new try
     */
    record Refused(Refusal refusal) implements Offer {
        /** Checks the arguments. */
        public Refused {
            Objects.requireNonNull(refusal, "refusal is null");
        }
    }
}
