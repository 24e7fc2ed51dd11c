package org.masticpaddle.admission;

import java.util.Objects;

/** Decision of the {@link OrganisationLimiter} on one request. */
public sealed interface LimitDecision {
    /** The request is within the limits and counts as running. */
    record Admitted() implements LimitDecision {}

    /**
     * The request exceeds a limit and does not count as running.
     *
     * @param reason the exceeded limit
     * @param retryAfterNanos time until this entry's share of the limit allows a request, in nanoseconds
     */
    record Exceeded(RejectionReason reason, long retryAfterNanos) implements LimitDecision {
        /** Checks the arguments. */
        public Exceeded {
            Objects.requireNonNull(reason, "reason is null");
        }
    }
}
