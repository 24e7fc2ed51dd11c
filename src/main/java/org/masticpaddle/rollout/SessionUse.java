package org.masticpaddle.rollout;

import java.util.Objects;

/**
 * Session that runs on another version than its hash assigns it to, as gateways tell each other. Immutable.
 *
 * @param sessionHash hash of the session's identifier, in hexadecimal
 * @param newVersion whether it runs on the version that is rolled out
 * @param remainingMillis time after which the session has timed out, in milliseconds
 */
public record SessionUse(String sessionHash, boolean newVersion, long remainingMillis) {
    /** Checks the arguments. */
    public SessionUse {
        Objects.requireNonNull(sessionHash, "sessionHash is null");
    }
}
