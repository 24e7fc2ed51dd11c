package org.masticpaddle.quarantine;

import java.util.Objects;

/**
 * A prompt segment, as requests to the upstreams of one service share it. Immutable.
 *
 * @param service name of the service
 * @param segment identifier of the segment's content
 */
public record SegmentKey(String service, String segment) {
    /** Checks the arguments. */
    public SegmentKey {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(segment, "segment is null");
    }

    // Written out, since the first use of the generated methods spins classes, which delays the first request of a
    // process.
    @Override
    public boolean equals(Object other) {
        return other instanceof SegmentKey key && service.equals(key.service) && segment.equals(key.segment);
    }

    @Override
    public int hashCode() {
        return 31 * service.hashCode() + segment.hashCode();
    }
}
