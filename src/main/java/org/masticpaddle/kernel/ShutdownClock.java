package org.masticpaddle.kernel;

import java.util.concurrent.CompletableFuture;

/**
 * Time of the thread that shuts a process down: its clock and all its ways to wait. Implementations document their thread
 * safety.
 */
public interface ShutdownClock {
    /**
     * Returns the current time.
     *
     * @return nanoseconds since an arbitrary origin; never decreases
     */
    long nanos();

    /**
     * Blocks the calling thread until a point in time. An interrupt does not end the wait.
     *
     * @param deadlineNanos end of the wait by {@link #nanos()}; returns immediately if it has passed
     */
    void sleepUntil(long deadlineNanos);

    /**
     * Blocks the calling thread until a condition holds or a point in time has passed.
     *
     * @param condition completes, also exceptionally, once the wait is over
     * @param deadlineNanos latest end of the wait by {@link #nanos()}
     */
    void await(CompletableFuture<Void> condition, long deadlineNanos);
}
