package org.masticpaddle.routing;

import java.util.Objects;

/**
 * Score of one upstream for one request. Immutable and thread-safe.
 *
 * @param upstream identifier of the instance
 * @param eligible whether it takes the version now
 * @param millis expected time until the prompt is processed, with the penalties of tail and region; lower is better
 */
public record UpstreamScore(String upstream, boolean eligible, double millis) {
    /** Checks the arguments. */
    public UpstreamScore {
        Objects.requireNonNull(upstream, "upstream is null");
    }
}
