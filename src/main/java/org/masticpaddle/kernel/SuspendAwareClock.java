package org.masticpaddle.kernel;

import java.util.Objects;
import java.util.function.LongSupplier;

/**
 * Monotonic clock that also counts time in which the machine was suspended.
 *
 * <p>The monotonic clock of the virtual machine stands still while the machine is suspended, the time of day does not. A
 * jump of the time of day ahead of the monotonic clock is counted as a suspension, so that a step of the time of day can
 * only make remembered facts look older than they are. Thread-safe.
 */
public final class SuspendAwareClock {
    /** Differences below this are drift and late reads. */
    private static final long SUSPENSION_NANOS = 200_000_000L;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final LongSupplier monotonicNanos;
    private final LongSupplier wallMillis;
    private long lastMonotonic;
    private long lastWallNanos;
    private long suspendedNanos;

    /**
     * Creates a clock.
     *
     * @param monotonicNanos monotonic time in nanoseconds
     * @param wallMillis time of day in milliseconds since 1970
     */
    public SuspendAwareClock(LongSupplier monotonicNanos, LongSupplier wallMillis) {
        this.monotonicNanos = Objects.requireNonNull(monotonicNanos, "monotonicNanos is null");
        this.wallMillis = Objects.requireNonNull(wallMillis, "wallMillis is null");
        lastMonotonic = monotonicNanos.getAsLong();
        lastWallNanos = wallMillis.getAsLong() * NANOS_PER_MILLI;
    }

    /**
     * Returns the time.
     *
     * @return nanoseconds since an arbitrary origin, never less than an earlier result
     */
    public synchronized long nanos() {
        final long monotonic = monotonicNanos.getAsLong();
        final long wall = wallMillis.getAsLong() * NANOS_PER_MILLI;
        final long ahead = (wall - lastWallNanos) - (monotonic - lastMonotonic);
        if (ahead > SUSPENSION_NANOS) {
            suspendedNanos += ahead;
        }
        lastMonotonic = monotonic;
        lastWallNanos = wall;
        return monotonic + suspendedNanos;
    }
}
