package org.masticpaddle.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.masticpaddle.wire.Hashing;

/**
 * Versions that sessions stay on during one rollout although their hash assigns them to the other side.
 *
 * <p>A session with a hash in the share of the canary that has run on an old version stays there, and one that has run on the
 * new version stays on that. Invariant: an entry never changes, so that gateways that know it agree, whenever they heard
 * of it. Performs no input or output. Not thread-safe: used on the owner's thread only.
 */
public final class SessionVersions {
    /** Largest number of sessions in a report, which bounds its size. */
    private static final int MAX_REPORTED_SESSIONS = 256;

    private final Map<String, Boolean> onNewVersion = new HashMap<>();
    private final Map<String, SessionUse> own = new HashMap<>();

    /**
     * Records that a session runs on a version at this gateway.
     *
     * @param session identifier of the session
     * @param newVersion whether it is the version that is rolled out
     * @param share share of the sessions that the hash assigns to it, between 0 and 1
     * @return whether the other gateways have to be told
     */
    public boolean record(String session, boolean newVersion, double share) {
        final String hash = hash(session);
        if (newVersion == fractionOfHash(hash) < share || onNewVersion.putIfAbsent(hash, newVersion) != null) {
            return false;
        }
        own.put(hash, new SessionUse(hash, newVersion));
        return true;
    }

    /**
     * Adds the sessions that another gateway reports.
     *
     * @param uses sessions that stay on another version than their hash assigns them to
     */
    public void merge(List<SessionUse> uses) {
        uses.forEach(use -> onNewVersion.putIfAbsent(use.sessionHash(), use.newVersion()));
    }

    /**
     * Returns the side on which a session stays.
     *
     * @param session identifier of the session
     * @return whether it stays on the new version, empty if its hash decides
     */
    public Optional<Boolean> staysOnNewVersion(String session) {
        return Optional.ofNullable(onNewVersion.get(hash(session)));
    }

    /**
     * Returns the sessions to report to the other gateways.
     *
     * @return sessions that this gateway has recorded
     */
    public List<SessionUse> report() {
        return own.values().stream().limit(MAX_REPORTED_SESSIONS).toList();
    }

    /**
     * Returns the position of a session in the order in which sessions are assigned to a new version.
     *
     * @param session identifier of the session
     * @return fraction from 0 to below 1, equal in all gateways
     */
    public static double fraction(String session) {
        return fractionOfHash(hash(session));
    }

    private static String hash(String session) {
        return Long.toHexString(Hashing.hash64(session));
    }

    private static double fractionOfHash(String hash) {
        return (Long.parseUnsignedLong(hash, 16) >>> 11) * 0x1.0p-53;
    }
}
