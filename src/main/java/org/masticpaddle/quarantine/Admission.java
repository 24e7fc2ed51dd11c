package org.masticpaddle.quarantine;

import java.util.Objects;

/**
 * Whether an attempt to run a request may start now. Immutable.
 *
 * @param outcome what to do with the request
 * @param segment segment that decided it, empty if none is suspected
 * @param crashes number of crashes attributed to the segment
 * @param untilMillis time until which the outcome holds unless evidence arrives, in milliseconds since 1970; 0 if no segment
 *     is suspected
 */
public record Admission(Outcome outcome, String segment, int crashes, long untilMillis) {
    /** Admission of a request without suspected segments. */
    public static final Admission ALLOWED = new Admission(Outcome.ALLOWED, "", 0, 0);

    /** Checks the arguments. */
    public Admission {
        Objects.requireNonNull(outcome, "outcome is null");
        Objects.requireNonNull(segment, "segment is null");
    }

    /** What to do with a request, from the least to the most restrictive. */
    public enum Outcome {
        /** Any upstream may run it. */
        ALLOWED,
        /** It may run as the only request with the suspected segment, where a crash does the least harm. */
        TRIAL,
        /** It waits for the result of a trial. */
        HELD,
        /** It is rejected, since it would probably crash its upstream. */
        REJECTED
    }
}
