package org.masticpaddle.rollout;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.masticpaddle.wire.Hashing;

/**
 * Versions that the active sessions of one service run on, from the requests of this gateway and the reports of others.
 *
 * <p>Invariant: a session is active while one of its requests is in flight and until it has timed out after the last one, in
 * the view of every gateway; the newest request decides its version. Holds active sessions only, once {@link #removeInactive} was called. Performs no
 * input or output. Not thread-safe: used on the owner's thread only.
 */
public final class SessionVersions {
    /** Time for which a session counts as active beyond its timeout, within which other gateways report a further request. */
    private static final long REPORT_DELAY_NANOS = 2_000_000_000L;
    /** Largest number of sessions in a report, which bounds its size. */
    private static final int MAX_REPORTED_SESSIONS = 256;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final long activeNanos;
    private final Map<String, Activity> local = new HashMap<>();
    private final Map<String, Reported> reported = new HashMap<>();

    /**
     * Creates an empty table.
     *
     * @param timeout longest time between the end of a request and the next request of its session
     */
    public SessionVersions(Duration timeout) {
        activeNanos = Objects.requireNonNull(timeout, "timeout is null").toNanos() + REPORT_DELAY_NANOS;
    }

    /**
     * Records that a request of a session is sent.
     *
     * @param session identifier of the session
     * @param version version that the request runs on
     */
    public void begin(String session, String version) {
        final Activity activity = local.computeIfAbsent(key(session), hash -> new Activity());
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
        final Activity activity = local.get(key(session));
        if (activity != null) {
            activity.inFlight--;
            activity.endNanos = now;
        }
    }

    /**
     * Adds the sessions that another gateway reports. Of several reports of a session the one that lasts longest applies,
     * since it is of the newest request.
     *
     * @param uses sessions that run on another version than their hash assigns them to
     * @param reportNanos time of the report in nanoseconds; an estimate from the time of receipt would be later, so that
     *     gateways would disagree on the end of a session
     */
    public void merge(List<SessionUse> uses, long reportNanos) {
        for (final SessionUse use : uses) {
            reported.merge(
                    use.sessionHash(),
                    new Reported(use.newVersion(), reportNanos + use.remainingMillis() * NANOS_PER_MILLI),
                    (known, added) -> added.untilNanos > known.untilNanos ? added : known);
        }
    }

    /**
     * Returns whether an active session runs on a version.
     *
     * @param session identifier of the session
     * @param newVersion version that is rolled out
     * @param now current time in nanoseconds
     * @return whether it runs on that version, empty if the session is not known to be active
     */
    public Optional<Boolean> runsOn(String session, String newVersion, long now) {
        final String key = key(session);
        final Activity activity = local.get(key);
        if (activity != null && activity.remainingNanos(activeNanos, now) > 0) {
            return Optional.of(activity.version.equals(newVersion));
        }
        return Optional.ofNullable(reported.get(key))
                .filter(use -> now < use.untilNanos)
                .map(use -> use.newVersion);
    }

    /**
     * Returns the active sessions of this gateway that run on another version than their hash assigns them to.
     *
     * @param newVersion version that is rolled out
     * @param share share of the sessions that the hash assigns to it, between 0 and 1
     * @param now current time in nanoseconds
     * @return sessions to report to the other gateways
     */
    public List<SessionUse> exceptions(String newVersion, double share, long now) {
        return local.entrySet().stream()
                .filter(entry -> entry.getValue().remainingNanos(activeNanos, now) > 0)
                .filter(entry -> entry.getValue().version.equals(newVersion) != (fractionOfKey(entry.getKey()) < share))
                .limit(MAX_REPORTED_SESSIONS)
                .map(entry -> new SessionUse(
                        entry.getKey(),
                        entry.getValue().version.equals(newVersion),
                        entry.getValue().remainingNanos(activeNanos, now) / NANOS_PER_MILLI))
                .toList();
    }

    /**
     * Removes the sessions that have timed out.
     *
     * @param now current time in nanoseconds
     */
    public void removeInactive(long now) {
        local.values().removeIf(activity -> activity.remainingNanos(activeNanos, now) <= 0);
        reported.values().removeIf(use -> now >= use.untilNanos);
    }

    /**
     * Returns the position of a session in the order in which sessions are assigned to a new version.
     *
     * @param session identifier of the session
     * @return fraction from 0 to below 1, equal in all gateways
     */
    public static double fraction(String session) {
        return fractionOfKey(key(session));
    }

    private static String key(String session) {
        return Long.toHexString(Hashing.hash64(session));
    }

    private static double fractionOfKey(String key) {
        return (Long.parseUnsignedLong(key, 16) >>> 11) * 0x1.0p-53;
    }

    /** Requests of a session at this gateway. Not thread-safe. */
    private static final class Activity {
        private String version;
        private int inFlight;
        private long endNanos;

        long remainingNanos(long activeNanos, long now) {
            return inFlight > 0 ? activeNanos : endNanos + activeNanos - now;
        }
    }

    /** Session that another gateway reported. Immutable. */
    private record Reported(boolean newVersion, long untilNanos) {}
}
