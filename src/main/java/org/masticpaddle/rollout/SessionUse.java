package org.masticpaddle.rollout;

import java.util.Objects;

/**
 * Session that stays on another version than its hash assigns it to, as gateways tell each other. Immutable.
 *
 * @param sessionHash hash of the session's identifier, in hexadecimal
 * @param newVersion whether it stays on the version that is rolled out, as opposed to an old version
 */
public record SessionUse(String sessionHash, boolean newVersion) {
    /** Checks the arguments. */
    public SessionUse {
        Objects.requireNonNull(sessionHash, "sessionHash is null");
    }
}
