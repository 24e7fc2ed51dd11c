package org.masticpaddle.membership;

import java.util.List;
import java.util.Objects;

/**
 * Settings of a {@link MembershipService}. Immutable and thread-safe.
 *
 * @param self identifier of this process in the instance list
 * @param region region of this process
 * @param services services whose upstreams this process sends requests to, empty for all
 * @param subsetSize maximum size of the subset of each service
 * @param pollIntervalMillis milliseconds between two polls of the instance list, before jitter of 20%
 * @param probeIntervalMillis milliseconds without a report after which a member is probed
 * @param probeTimeoutMillis milliseconds after which a probe fails
 * @param maxAgeMillis milliseconds after which load reports expire and unlisted instances are removed
 * @param probeBytesPerSecond limit of the bytes per second that probes send and receive together
 */
public record MembershipSettings(
        String self,
        String region,
        List<String> services,
        int subsetSize,
        long pollIntervalMillis,
        long probeIntervalMillis,
        long probeTimeoutMillis,
        long maxAgeMillis,
        int probeBytesPerSecond) {
    /** Checks the arguments and copies the services. */
    public MembershipSettings {
        Objects.requireNonNull(self, "self is null");
        Objects.requireNonNull(region, "region is null");
        services = List.copyOf(services);
    }

    /**
     * Creates settings for all services with the defaults: a poll and a probe every second, a probe timeout of 1 s, a
     * maximum age of 30 s and 8,000 bytes of probes per second.
     *
     * @param self identifier of this process in the instance list
     * @param region region of this process
     * @param subsetSize maximum size of the subset of each service
     * @return settings whose list of services is empty, which stands for all services
     */
    public static MembershipSettings of(String self, String region, int subsetSize) {
        return new MembershipSettings(self, region, List.of(), subsetSize, 1000, 1000, 1000, 30_000, 8000);
    }
}
