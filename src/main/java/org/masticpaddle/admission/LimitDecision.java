package org.masticpaddle.admission;

import java.util.Objects;

/** Decision of the limits of an organisation on one request. */
public sealed interface LimitDecision {
    /** The request is within the limits and counted as running. */
    record Admitted() implements LimitDecision {}

    /**
     * A limit is used up; the request is not counted as admitted.
     *
     * @param reason the limit
     * @param retryAfterNanos time until the share of this entry allows a request, in nanoseconds
     */
    record Exceeded(RejectionReason reason, long retryAfterNanos) implements LimitDecision {
        /** Checks the arguments. */
        public Exceeded {
            Objects.requireNonNull(reason, "reason is null");
        }
    }
}
