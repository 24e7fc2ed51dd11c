package org.masticpaddle.membership;

import java.util.List;
import java.util.Objects;

/**
 * Settings of the membership of one process. Immutable.
 *
 * @param self identifier of this process in the instance list
 * @param region its region
 * @param services services whose upstreams it sends work to, empty for all
 * @param subsetSize largest subset of each service
 * @param pollMillis milliseconds between two reads of the instance list, give or take a fifth
 * @param probeMillis milliseconds without a report after which a member is probed
 * @param probeTimeoutMillis milliseconds after which a probe has failed
 * @param maxAgeMillis milliseconds after which reports and missing instances are forgotten
 * @param probeBytesASecond bytes a second, both ways, that probes may take
 */
public record MembershipSettings(
        String self,
        String region,
        List<String> services,
        int subsetSize,
        long pollMillis,
        long probeMillis,
        long probeTimeoutMillis,
        long maxAgeMillis,
        int probeBytesASecond) {
    /** Checks the arguments and copies the services. */
    public MembershipSettings {
        Objects.requireNonNull(self, "self is null");
        Objects.requireNonNull(region, "region is null");
        services = List.copyOf(services);
    }

    /**
     * Builds settings for all services with a poll and a probe each second, an age of 30 s and 8,000 bytes a second.
     *
     * @param self identifier of this process in the instance list
     * @param region its region
     * @param subsetSize largest subset of each service
     * @return the settings
     */
    public static MembershipSettings of(String self, String region, int subsetSize) {
        return new MembershipSettings(self, region, List.of(), subsetSize, 1000, 1000, 1000, 30_000, 8000);
    }
}
