package org.masticpaddle.wire;

import java.time.Duration;
import java.util.Objects;

/**
 * Times of a client's connections. Immutable.
 *
 * @param connectTimeout time after which a connection that is not established fails
 * @param maxIdle time after which an idle connection is closed instead of used again; shorter than the idle timeout of
 *     the peers, so that a request does not cross their close
 */
public record ConnectionLimits(Duration connectTimeout, Duration maxIdle) {
    /** Limits between processes of one deployment. */
    public static final ConnectionLimits DEFAULT = new ConnectionLimits(Duration.ofSeconds(2), Duration.ofHours(1));

    /** Checks the arguments. */
    public ConnectionLimits {
        Objects.requireNonNull(connectTimeout, "connectTimeout is null");
        Objects.requireNonNull(maxIdle, "maxIdle is null");
    }
}
