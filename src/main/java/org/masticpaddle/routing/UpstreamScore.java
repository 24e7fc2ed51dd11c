package org.masticpaddle.routing;

import java.util.Objects;

/**
 * Score of one upstream for one request. Immutable and thread-safe.
 *
 * @param upstream identifier of the instance
 * @param eligible whether the upstream accepts requests for the version now
 * @param millis expected time in milliseconds until the prompt is processed, with the penalties for tail latency and
 *     region; lower is better
 */
public record UpstreamScore(String upstream, boolean eligible, double millis) {
    /** Checks the arguments. */
    public UpstreamScore {
        Objects.requireNonNull(upstream, "upstream is null");
    }
}
