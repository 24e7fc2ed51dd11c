package org.masticpaddle.admission;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Callers that were rejected a short time ago and asked to come back later.
 *
 * <p>Load pattern: some callers repeat at once and often, and would crowd out those that wait as they were asked to. A repeat has an
 * identifier of its own, so that only its session tells it from a first attempt. Invariants: at most {@value #MAX_SESSIONS}
 * sessions are remembered, each for a third of the time that its request had left at most, since callers wait no longer. Not
 * thread-safe: used on the owner's thread only.
 */
final class EarlyRepeats {
    private static final int MAX_SESSIONS = 1_024;
    /** Fraction of the time left for which callers wait at most. */
    private static final double HONOURED_FRACTION = 1.0 / 3;

    private final Map<String, Long> untilNanos = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_SESSIONS;
        }
    };

    /** Records that a request was rejected and its caller asked to wait. */
    void onRejected(AdmissionCandidate candidate, double retryAfterMillis, long now) {
        candidate.session().ifPresent(session -> {
            final double waitMillis =
                    Math.min(retryAfterMillis, HONOURED_FRACTION * Math.max(0, candidate.timeLeftMillis(now)));
            untilNanos.remove(session);
            untilNanos.put(session, now + (long) (waitMillis * 1e6));
        });
    }

    /** Returns whether a request of a session comes sooner than its caller was asked to. */
    boolean early(Optional<String> session, long now) {
        return session.map(untilNanos::get).filter(until -> now < until).isPresent();
    }
}
