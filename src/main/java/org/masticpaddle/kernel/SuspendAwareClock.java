package org.masticpaddle.kernel;

import java.util.Objects;
import java.util.function.LongSupplier;

/**
 * Monotonic clock that includes the time during which the machine was suspended.
 *
 * <p>The monotonic clock of the virtual machine stops while the machine is suspended, but the wall clock does not. A
 * jump of the wall clock ahead of the monotonic clock is counted as a suspension. Setting the wall clock can therefore
 * only make stored information appear older than it is, never newer. Thread-safe.
 */
public final class SuspendAwareClock {
    /** Smaller differences between the two clocks are attributed to drift and delayed reads. */
    private static final long MIN_SUSPENSION_NANOS = 200_000_000L;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final LongSupplier monotonicNanos;
    private final LongSupplier wallMillis;
    private long lastMonotonicNanos;
    private long lastWallNanos;
    private long suspendedNanos;

    /**
     * Creates a clock.
     *
     * @param monotonicNanos monotonic time in nanoseconds that stops during a suspension
     * @param wallMillis wall-clock time in milliseconds since 1970
     */
    public SuspendAwareClock(LongSupplier monotonicNanos, LongSupplier wallMillis) {
        this.monotonicNanos = Objects.requireNonNull(monotonicNanos, "monotonicNanos is null");
        this.wallMillis = Objects.requireNonNull(wallMillis, "wallMillis is null");
        lastMonotonicNanos = monotonicNanos.getAsLong();
        lastWallNanos = wallMillis.getAsLong() * NANOS_PER_MILLI;
    }

    /**
     * Returns the current time.
     *
     * @return nanoseconds since an arbitrary origin, never less than an earlier result
     */
    public synchronized long nanos() {
        final long nowNanos = monotonicNanos.getAsLong();
        final long wallNanos = wallMillis.getAsLong() * NANOS_PER_MILLI;
        final long wallAheadNanos = (wallNanos - lastWallNanos) - (nowNanos - lastMonotonicNanos);
        if (wallAheadNanos > MIN_SUSPENSION_NANOS) {
            suspendedNanos += wallAheadNanos;
        }
        lastMonotonicNanos = nowNanos;
        lastWallNanos = wallNanos;
        return nowNanos + suspendedNanos;
    }
}
