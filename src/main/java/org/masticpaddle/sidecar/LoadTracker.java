package org.masticpaddle.sidecar;

import java.util.List;

import org.masticpaddle.wire.LoadReport;

/** Load and cache events of the upstream, written by the sidecar's duties and read by any thread. Thread-safe. */
final class LoadTracker {
    private static final double SMOOTHING = 0.1;
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

    /** Called by the thread that owns the attempts. */
    void publish(int running, int queued, boolean draining) {
        report = new LoadReport(
                incarnation, draining, upstreamReady, running, queued, slots, versions, meanServiceMillis);
    }

    /** Called by the thread that owns the attempts. */
    void finished(long serviceNanos) {
        final double millis = serviceNanos / NANOS_PER_MILLI;
        meanServiceMillis =
                meanServiceMillis == 0 ? millis : meanServiceMillis + SMOOTHING * (millis - meanServiceMillis);
    }

    /** Called by the thread that watches the upstream. */
    void upstream(boolean ready, List<String> loadedVersions) {
        upstreamReady = ready;
        versions = List.copyOf(loadedVersions);
    }
}
