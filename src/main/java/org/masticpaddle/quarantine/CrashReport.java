package org.masticpaddle.quarantine;

import java.util.Objects;
import java.util.Set;

/**
 * Report of one gateway that an upstream was lost while it began to answer requests with certain prompt segments. Immutable.
 *
 * @param service name of the upstream's service
 * @param upstream identifier and incarnation of the upstream
 * @param millis time of the loss in milliseconds since 1970, by the clock of the gateway
 * @param segments segments of the answers that had just begun, any of which may have caused the crash
 */
public record CrashReport(String service, String upstream, long millis, Set<String> segments) {
    /** Checks the arguments and copies the set. */
    public CrashReport {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(upstream, "upstream is null");
        segments = Set.copyOf(Objects.requireNonNull(segments, "segments is null"));
    }
}
