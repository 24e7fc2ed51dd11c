package org.masticpaddle.kernel;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.BiConsumer;

/**
 * Runs named tasks one after the other, again and again at a fixed interval.
 *
 * <p>Invariant: a task that throws, also an error, ends neither the other tasks nor the repetition. Not thread-safe: used on the scheduler's
 * thread only.
 */
public final class PeriodicTasks {
    private final Scheduler scheduler;
    private final long intervalMillis;
    private final Map<String, Runnable> tasks = new LinkedHashMap<>();
    private final BiConsumer<String, Throwable> onFailure;
    private boolean stopped;

    /**
     * Creates a repetition without tasks that is not started.
     *
     * @param scheduler clock and timers of the thread that runs the tasks
     * @param intervalMillis interval in milliseconds
     * @param onFailure receives the name of a task that threw and what it threw
     */
    public PeriodicTasks(Scheduler scheduler, long intervalMillis, BiConsumer<String, Throwable> onFailure) {
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler is null");
        this.intervalMillis = intervalMillis;
        this.onFailure = Objects.requireNonNull(onFailure, "onFailure is null");
    }

    /**
     * Adds a task, which runs after those that were added before it.
     *
     * @param name unique name for error messages
     * @param task task that must not block
     * @return this repetition
     */
    public PeriodicTasks add(String name, Runnable task) {
        tasks.put(Objects.requireNonNull(name, "name is null"), Objects.requireNonNull(task, "task is null"));
        return this;
    }

    /** Runs all tasks now, and again after each interval. */
    public void start() {
        if (stopped) {
            return;
        }
        tasks.forEach(this::run);
        scheduler.schedule(intervalMillis, this::start);
    }

    private void run(String name, Runnable task) {
        try {
            task.run();
        } catch (Throwable e) {
            report(name, e);
        }
    }

    private void report(String name, Throwable error) {
        try {
            onFailure.accept(name, error);
        } catch (Throwable e) {
            // The other tasks are more important than the report.
        }
    }

    /** Ends the repetition. */
    public void stop() {
        stopped = true;
    }
}
