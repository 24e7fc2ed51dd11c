package org.masticpaddle.kernel;

import java.util.concurrent.locks.LockSupport;

/** Waits of a process that is about to stop. Thread-safe, having no state. */
public final class ShutdownDelay {
    private ShutdownDelay() {}

    /**
     * Waits until a time.
     *
     * @param nanos time by the monotonic clock
     */
    public static void sleepUntil(long nanos) {
        long left = nanos - System.nanoTime();
        while (left > 0) {
            LockSupport.parkNanos(left);
            left = nanos - System.nanoTime();
        }
    }
}
