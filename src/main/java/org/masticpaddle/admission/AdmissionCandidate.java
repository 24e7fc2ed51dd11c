package org.masticpaddle.admission;

import java.util.Objects;
import java.util.Optional;

/**
 * What the admission of a service needs to know of one request. Immutable and thread-safe.
 *
 * @param organisation organisation that pays for the request, empty text if it has none
 * @param session session that the request belongs to, empty if there is none
 * @param kind kind of the request: the name of its route
 * @param rank priority class, 0 is the most urgent
 * @param work expected work: tokens read plus ten times the tokens generated, or 1 for a plain request; only compared within one
 *     service
 * @param arrivalNanos time at which the gateway received the request, in nanoseconds of a monotonic clock
 * @param objectiveMillis latency objective: time from the arrival until the start of the answer, in milliseconds
 * @param timeoutMillis time from the arrival until the answer is of no use, in milliseconds
 */
public record AdmissionCandidate(
        String organisation,
        Optional<String> session,
        String kind,
        int rank,
        double work,
        long arrivalNanos,
        double objectiveMillis,
        double timeoutMillis) {
    private static final double NANOS_PER_MILLI = 1e6;
    /**
     * Fraction of the objective, or of a shorter timeout, that a request may wait at a gateway. A request that was held for longer and never offered to an
     * upstream has cost its caller time for nothing.
     */
    private static final double MAX_WAIT_FRACTION = 0.125;

    /** Checks the arguments. */
    public AdmissionCandidate {
        Objects.requireNonNull(organisation, "organisation is null");
        Objects.requireNonNull(session, "session is null");
        Objects.requireNonNull(kind, "kind is null");
        if (!(work > 0)) {
            throw new IllegalArgumentException("work is not positive: " + work);
        }
    }

    /**
     * Returns the time since the arrival.
     *
     * @param now current time in nanoseconds
     * @return milliseconds
     */
    public double waitedMillis(long now) {
        return (now - arrivalNanos) / NANOS_PER_MILLI;
    }

    double objectiveLeftMillis(long now) {
        return objectiveMillis - waitedMillis(now);
    }

    double timeLeftMillis(long now) {
        return timeoutMillis - waitedMillis(now);
    }

    double maxWaitMillis() {
        return MAX_WAIT_FRACTION * Math.min(objectiveMillis, timeoutMillis);
    }

    double waitLeftMillis(long now) {
        return Math.max(0, maxWaitMillis() - waitedMillis(now));
    }
}
