package org.masticpaddle.kernel;

/** Time and timers of the thread that owns some state. An implementation states its own thread safety. */
public interface Scheduler {
    /**
     * Returns the time.
     *
     * @return nanoseconds since an arbitrary origin; never goes back, and counts time in which the machine stood still
     */
    long nanos();

    /**
     * Runs a task later on the thread that owns the state.
     *
     * @param millis delay in milliseconds
     * @param task the task
     * @return handle that cancels the task
     */
    Timer schedule(long millis, Runnable task);

    /** A task that waits for its time. */
    @FunctionalInterface
    interface Timer {
        /** Forgets the task if it has not run. */
        void cancel();
    }
}
