package org.masticpaddle.sidecar;

import java.util.Objects;
import java.util.function.LongSupplier;

/**
 * Clocks of a sidecar. Thread-safe if the suppliers are.
 *
 * @param wall wall-clock time in milliseconds since 1970
 * @param monotonic monotonic time in nanoseconds, with an arbitrary origin
 */
record SidecarClock(LongSupplier wall, LongSupplier monotonic) {
    SidecarClock {
        Objects.requireNonNull(wall, "wall is null");
        Objects.requireNonNull(monotonic, "monotonic is null");
    }

    long millis() {
        return wall.getAsLong();
    }

    long nanos() {
        return monotonic.getAsLong();
    }
}
