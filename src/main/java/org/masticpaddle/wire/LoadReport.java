package org.masticpaddle.wire;

import java.util.List;

/**
 * Load of an upstream, measured by its sidecar. Immutable.
 *
 * @param incarnation incarnation of the sidecar
 * @param draining whether the sidecar rejects new attempts because it is shutting down
 * @param ready whether the upstream responds
 * @param running number of attempts running on the upstream
 * @param queued number of attempts waiting in the sidecar
 * @param slots concurrency limit of the upstream
 * @param versions versions that the engine has loaded, each as {@code model/version}
 * @param meanServiceMillis exponentially smoothed duration of an attempt in milliseconds, without the time in the
 *     queue; 0 before the first attempt has ended
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
    /** Copies the versions; {@code null}, from a peer that sends none, becomes an empty list. */
    public LoadReport {
        versions = versions == null ? List.of() : List.copyOf(versions);
    }
}
