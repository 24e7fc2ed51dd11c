package org.masticpaddle.rollout;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * Versions that the active sessions of one service run on at this gateway.
 *
 * <p>Invariant: a session is active while one of its requests is in flight and until it has timed out after the last one; the
 * newest request decides its version. Performs no input or output. Not thread-safe: used on the owner's thread only.
 */
public final class ActiveSessions {
    private final long timeoutNanos;
    private final Map<String, Activity> activities = new HashMap<>();

    /**
     * Creates an empty table.
     *
     * @param timeout longest time between the end of a request and the next request of its session
     */
    public ActiveSessions(Duration timeout) {
        timeoutNanos = Objects.requireNonNull(timeout, "timeout is null").toNanos();
    }

    /**
     * Records that a request of a session is sent.
     *
     * @param session identifier of the session
     * @param version version that the request runs on
     */
    public void begin(String session, String version) {
        final Activity activity = activities.computeIfAbsent(session, id -> new Activity());
        activity.version = Objects.requireNonNull(version, "version is null");
        activity.inFlight++;
    }

    /**
     * Records that a request of a session has ended.
     *
     * @param session identifier of the session
     * @param now current time in nanoseconds
     */
    public void end(String session, long now) {
        final Activity activity = activities.get(session);
        if (activity != null) {
            activity.inFlight--;
            activity.endNanos = now;
        }
    }

    /**
     * Returns the version of each active session.
     *
     * @param now current time in nanoseconds
     * @return versions by the identifier of the session
     */
    public Map<String, String> versions(long now) {
        removeInactive(now);
        final Map<String, String> versions = new HashMap<>();
        activities.forEach((session, activity) -> versions.put(session, activity.version));
        return versions;
    }

    /**
     * Removes the sessions that have timed out.
     *
     * @param now current time in nanoseconds
     */
    public void removeInactive(long now) {
        activities.values().removeIf(activity -> activity.inFlight <= 0 && now - activity.endNanos > timeoutNanos);
    }

    /** Requests of a session. Not thread-safe. */
    private static final class Activity {
        private String version;
        private int inFlight;
        private long endNanos;
    }
}
