package org.masticpaddle.rollout;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * Versions of one service that may get requests although no rollout is known.
 *
 * <p>Upstreams and rollout orders are read from two streams, so that an upstream may be known before the order that
 * introduces its version. A version that appears later than the first ones is established only after the time within which
 * its order would have arrived. Performs no input or output. Not thread-safe: used on the owner's thread only.
 */
public final class EstablishedVersions {
    /** Time within which an order that introduces a version arrives, unless the log is unavailable. */
    private static final long ORDER_DELAY_NANOS = 3_000_000_000L;

    private final Map<String, Long> establishedNanos = new HashMap<>();

    /**
     * Records the versions of the listed upstreams. The first ones are established at once.
     *
     * @param versions versions of the upstreams of the service
     * @param now current time in nanoseconds
     */
    public void observe(Collection<String> versions, long now) {
        final long nextEstablishedNanos = establishedNanos.isEmpty() ? now : now + ORDER_DELAY_NANOS;
        versions.forEach(version -> establishedNanos.putIfAbsent(version, nextEstablishedNanos));
    }

    /**
     * Excludes a version that was rolled back, until a rollout introduces it again.
     *
     * @param version version that was found bad
     */
    public void exclude(String version) {
        establishedNanos.put(Objects.requireNonNull(version, "version is null"), Long.MAX_VALUE);
    }

    /**
     * Returns whether a version may get requests.
     *
     * @param version version of an upstream
     * @param now current time in nanoseconds
     * @return {@code true} if it is established, or if no version was observed yet
     */
    public boolean contains(String version, long now) {
        return establishedNanos.isEmpty() || now >= establishedNanos.getOrDefault(version, Long.MAX_VALUE);
    }
}
