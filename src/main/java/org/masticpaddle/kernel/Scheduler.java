package org.masticpaddle.kernel;

/** Clock and timers of the thread that owns some state. Implementations document their thread safety. */
public interface Scheduler {
    /**
     * Returns the current time.
     *
     * @return nanoseconds since an arbitrary origin; never decreases, and includes time during which the machine was
     *     suspended
     */
    long nanos();

    /**
     * Schedules a task to run once, after a delay, on the thread that owns the state.
     *
     * @param millis delay in milliseconds
     * @param task task to run
     * @return handle with which the task can be cancelled
     */
    Timer schedule(long millis, Runnable task);

    /** Handle of a scheduled task. */
    @FunctionalInterface
    interface Timer {
        /** Cancels the task. Has no effect if the task has already run. */
        void cancel();
    }
}
