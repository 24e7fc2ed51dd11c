package org.masticpaddle.wire;

import java.time.Duration;
import java.util.Objects;

/**
 * Timeouts of a client's connections. Immutable.
 *
 * @param connectTimeout time within which a connection must be established
 * @param keepAliveTimeout time after which an idle connection is closed instead of reused; must be shorter than the
 *     idle timeout of the peers, so that a request is not sent while the peer closes the connection
 */
public record ConnectionTimeouts(Duration connectTimeout, Duration keepAliveTimeout) {
    /** Timeouts between processes of one deployment. */
    public static final ConnectionTimeouts DEFAULT = new ConnectionTimeouts(Duration.ofSeconds(2), Duration.ofHours(1));

    /** Checks the arguments. */
    public ConnectionTimeouts {
        Objects.requireNonNull(connectTimeout, "connectTimeout is null");
        Objects.requireNonNull(keepAliveTimeout, "keepAliveTimeout is null");
    }
}
