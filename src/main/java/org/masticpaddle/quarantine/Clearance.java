package org.masticpaddle.quarantine;

import java.util.Objects;

/**
 * Statement of one gateway that a segment did not cause a crash, since an answer to a request with it has gone on. Immutable.
 *
 * @param service name of the service
 * @param segment identifier of the segment
 * @param upstream identifier and incarnation of the upstream that crashed
 */
public record Clearance(String service, String segment, String upstream) {
    /** Checks the arguments. */
    public Clearance {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(segment, "segment is null");
        Objects.requireNonNull(upstream, "upstream is null");
    }
}
