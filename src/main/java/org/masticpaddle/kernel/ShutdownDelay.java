package org.masticpaddle.kernel;

import java.util.concurrent.locks.LockSupport;

/** Delays the shutdown of a process. Thread-safe, having no state. */
public final class ShutdownDelay {
    private ShutdownDelay() {}

    /**
     * Blocks the calling thread until a point in time. An interrupt does not end the wait.
     *
     * @param deadlineNanos end of the wait by {@link System#nanoTime()}; returns immediately if it has passed
     */
    public static void sleepUntil(long deadlineNanos) {
        long remainingNanos = deadlineNanos - System.nanoTime();
        while (remainingNanos > 0) {
            LockSupport.parkNanos(remainingNanos);
            remainingNanos = deadlineNanos - System.nanoTime();
        }
    }
}
