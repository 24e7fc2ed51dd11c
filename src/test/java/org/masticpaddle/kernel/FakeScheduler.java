package org.masticpaddle.kernel;

import java.util.PriorityQueue;

/** Scheduler with virtual time that the test advances. Runs due tasks in order of their time. Not thread-safe. */
public final class FakeScheduler implements Scheduler {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private long nowNanos;
    private long sequence;

    @Override
    public long nanos() {
        return nowNanos;
    }

    @Override
    public Timer schedule(long millis, Runnable task) {
        final Task scheduled = new Task(nowNanos + millis * NANOS_PER_MILLI, sequence++, task);
        tasks.add(scheduled);
        return () -> tasks.remove(scheduled);
    }

    /**
     * Advances the time and runs all tasks that become due, on the calling thread.
     *
     * @param millis milliseconds to advance
     */
    public void advance(long millis) {
        final long endNanos = nowNanos + millis * NANOS_PER_MILLI;
        while (!tasks.isEmpty() && tasks.peek().dueNanos <= endNanos) {
            final Task next = tasks.poll();
            nowNanos = Math.max(nowNanos, next.dueNanos);
            next.action.run();
        }
        nowNanos = endNanos;
    }

    private record Task(long dueNanos, long order, Runnable action) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            return dueNanos != other.dueNanos
                    ? Long.compare(dueNanos, other.dueNanos)
                    : Long.compare(order, other.order);
        }
    }
}
