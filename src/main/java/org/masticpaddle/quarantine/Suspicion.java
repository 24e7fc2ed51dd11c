package org.masticpaddle.quarantine;

import java.util.Collection;
import java.util.Objects;
import java.util.Set;

/**
 * Crashes that are attributed to one segment. Immutable.
 *
 * @param upstreams upstreams that crashed, by identifier and incarnation
 * @param lastMillis time of the last crash, in milliseconds since 1970
 * @param owner gateway that may try the segment again: the one that reported the last crash
 * @param tied other segments of the service that were in use at the same crashes, so that any of them may be the cause
 */
public record Suspicion(Set<String> upstreams, long lastMillis, String owner, Set<String> tied) {
    /**
     * Number of crashes from which a segment is quarantined. One crash may have any cause; a second one, at another upstream
     * and without an answer that has gone on in between, is unlikely to be a coincidence.
     */
    static final int QUARANTINE_CRASHES = 2;
    /** Time after the first crash of a segment during which one request at a time tries it. */
    static final long SUSPICION_MILLIS = 3_000;
    /** Time after the crash that starts a quarantine until the segment is tried again; doubles with each further crash. */
    static final long FIRST_BACKOFF_MILLIS = 10_000;
    /** Longest time until a quarantined segment is tried again. */
    static final long MAX_BACKOFF_MILLIS = 160_000;

    /** Checks the arguments and copies the set. */
    public Suspicion {
        Objects.requireNonNull(owner, "owner is null");
        upstreams = Set.copyOf(Objects.requireNonNull(upstreams, "upstreams is null"));
        tied = Set.copyOf(Objects.requireNonNull(tied, "tied is null"));
    }

    /**
     * Returns the number of crashes.
     *
     * @return number of distinct upstreams that crashed, at least 1
     */
    public int crashes() {
        return upstreams.size();
    }

    /**
     * Returns whether requests with the segment are rejected.
     *
     * @return {@code true} from the second crash on
     */
    public boolean quarantined() {
        return crashes() >= QUARANTINE_CRASHES;
    }

    /**
     * Returns whether a request would show which of the tied segments causes the crashes.
     *
     * @param segments segments of the request's prompt, this one included
     * @return {@code true} if a tied segment is not in the prompt
     */
    public boolean discriminatedBy(Collection<String> segments) {
        return !segments.containsAll(tied);
    }

    /**
     * Returns the time until which the suspicion restricts requests with the segment.
     *
     * @return end of the quarantine's backoff or of the suspicion, in milliseconds since 1970
     */
    public long untilMillis() {
        if (!quarantined()) {
            return lastMillis + SUSPICION_MILLIS;
        }
        final int doublings = Math.min(crashes() - QUARANTINE_CRASHES, Integer.SIZE - 2);
        return lastMillis + Math.min(MAX_BACKOFF_MILLIS, FIRST_BACKOFF_MILLIS << doublings);
    }
}
