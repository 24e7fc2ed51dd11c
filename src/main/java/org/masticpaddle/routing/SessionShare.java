package org.masticpaddle.routing;

import org.masticpaddle.wire.Hashing;

/** Assignment of sessions to shares by hash: a session once included stays so while the share grows. Stateless. */
public final class SessionShare {
    private SessionShare() {}

    /**
     * Tells whether a share includes a session.
     *
     * @param subject what the share belongs to, so that two subjects include different sessions
     * @param stickyKey session or request
     * @param share share between 0 and 1
     * @return {@code true} if included; never for a share of 0, always for a share of 1
     */
    public static boolean includes(String subject, String stickyKey, double share) {
        return (Hashing.rendezvous(subject, stickyKey) >>> 11) * 0x1.0p-53 < share;
    }
}
