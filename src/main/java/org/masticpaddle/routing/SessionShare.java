package org.masticpaddle.routing;

import org.masticpaddle.wire.Hashing;

/**
 * Selects a share of the sessions by hash. A session that is included stays included while the share grows. Stateless
 * and thread-safe.
 */
public final class SessionShare {
    private SessionShare() {}

    /**
     * Returns whether a share includes a session.
     *
     * @param subject name of the rollout or version that the share belongs to; different subjects include different
     *     sessions
     * @param stickyKey identifier of the session, or of a request without a session
     * @param share share between 0 and 1
     * @return {@code true} if included; never for a share of 0, always for a share of 1
     */
    public static boolean includes(String subject, String stickyKey, double share) {
        return (Hashing.rendezvousWeight(subject, stickyKey) >>> 11) * 0x1.0p-53 < share;
    }
}
