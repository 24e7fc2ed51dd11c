package org.masticpaddle.sidecar;

import java.util.List;

import org.masticpaddle.wire.LoadReport;

/** Load and cache events of the upstream, updated by the sidecar's duties and read by any thread. Thread-safe. */
final class LoadTracker {
    private static final double SMOOTHING_FACTOR = 0.1;
    private static final double NANOS_PER_MILLI = 1_000_000.0;

    private final long incarnation;
    private final int slots;
    private final CacheEventBuffer cacheEvents = new CacheEventBuffer();
    private volatile LoadReport report;
    private volatile List<String> versions = List.of();
    private volatile boolean upstreamReady;
    private volatile double meanServiceMillis;

    LoadTracker(long incarnation, int slots, boolean upstreamReady) {
        this.incarnation = incarnation;
        this.slots = slots;
        this.upstreamReady = upstreamReady;
        publish(0, 0, false);
    }

    CacheEventBuffer cacheEvents() {
        return cacheEvents;
    }

    LoadReport report() {
        return report;
    }

    /** Publishes a new load report. Called only by the thread that owns the attempts. */
    void publish(int running, int queued, boolean draining) {
        report = new LoadReport(
                incarnation, draining, upstreamReady, running, queued, slots, versions, meanServiceMillis);
    }

    /** Adds the duration of an attempt to the mean. Called only by the thread that owns the attempts. */
    void recordServiceTime(long serviceNanos) {
        final double millis = serviceNanos / NANOS_PER_MILLI;
        meanServiceMillis =
                meanServiceMillis == 0 ? millis : meanServiceMillis + SMOOTHING_FACTOR * (millis - meanServiceMillis);
    }

    /** Updates the upstream's state, for the next report. Called only by the thread that monitors the upstream. */
    void updateUpstream(boolean ready, List<String> loadedVersions) {
        upstreamReady = ready;
        versions = List.copyOf(loadedVersions);
    }
}
