package org.masticpaddle.kernel;

import java.util.PriorityQueue;

/** Scheduler whose time is moved by the test, which runs the tasks that become due in their order. */
public final class FakeScheduler implements Scheduler {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private long now;
    private long sequence;

    @Override
    public long nanos() {
        return now;
    }

    @Override
    public Timer schedule(long millis, Runnable task) {
        final Task waiting = new Task(now + millis * NANOS_PER_MILLI, sequence++, task);
        tasks.add(waiting);
        return () -> tasks.remove(waiting);
    }

    /**
     * Moves the time.
     *
     * @param millis milliseconds to pass
     */
    public void advance(long millis) {
        final long end = now + millis * NANOS_PER_MILLI;
        while (!tasks.isEmpty() && tasks.peek().due <= end) {
            final Task next = tasks.poll();
            now = Math.max(now, next.due);
            next.action.run();
        }
        now = end;
    }

    private record Task(long due, long number, Runnable action) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            return due != other.due ? Long.compare(due, other.due) : Long.compare(number, other.number);
        }
    }
}
