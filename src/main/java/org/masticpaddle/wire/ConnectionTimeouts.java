package org.masticpaddle.wire;

import java.time.Duration;
import java.util.Objects;

/**
 * Times of a client's connections. Immutable.
 *
 * @param connectTimeout time after which a connection that is not established fails
 * @param keepAliveTimeout time after which an idle connection is closed instead of used again; shorter than the idle timeout of
 *     the peers, so that a request does not cross their close
 */
public record ConnectionTimeouts(Duration connectTimeout, Duration keepAliveTimeout) {
    /** Limits between processes of one deployment. */
    public static final ConnectionTimeouts DEFAULT = new ConnectionTimeouts(Duration.ofSeconds(2), Duration.ofHours(1));

    /** Checks the arguments. */
    public ConnectionTimeouts {
        Objects.requireNonNull(connectTimeout, "connectTimeout is null");
        Objects.requireNonNull(keepAliveTimeout, "maxIdle is null");
    }
}
