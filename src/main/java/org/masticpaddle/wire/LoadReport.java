package org.masticpaddle.wire;

import java.util.List;

/**
 * Load of one upstream as its sidecar sees it. Immutable.
 *
 * @param incarnation incarnation of the sidecar
 * @param draining whether the sidecar accepts no new work
 * @param ready whether the upstream answers
 * @param running attempts that run now
 * @param queued attempts that wait in the sidecar
 * @param slots attempts that may run at the same time
 * @param versions versions that the engine has loaded, each {@code model/version}
 * @param meanServiceMillis smoothed time from start to end of an attempt
 */
public record LoadReport(
        long incarnation,
        boolean draining,
        boolean ready,
        int running,
        int queued,
        int slots,
        List<String> versions,
        double meanServiceMillis) {
    /** Copies the versions. */
    public LoadReport {
        versions = versions == null ? List.of() : List.copyOf(versions);
    }
}
