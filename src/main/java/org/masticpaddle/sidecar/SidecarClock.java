package org.masticpaddle.sidecar;

import java.util.Objects;
import java.util.function.LongSupplier;

/**
 * Clocks of a sidecar. Thread-safe if the suppliers are.
 *
 * @param wallMillis wall-clock time in milliseconds since 1970
 * @param monotonicNanos monotonic time in nanoseconds, with an arbitrary origin
 */
record SidecarClock(LongSupplier wallMillis, LongSupplier monotonicNanos) {
    SidecarClock {
        Objects.requireNonNull(wallMillis, "wallMillis is null");
        Objects.requireNonNull(monotonicNanos, "monotonicNanos is null");
    }

    long millis() {
        return wallMillis.getAsLong();
    }

    long nanos() {
        return monotonicNanos.getAsLong();
    }
}
