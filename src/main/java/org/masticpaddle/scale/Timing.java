package org.masticpaddle.scale;

/** Measures the run time and the retained memory of tasks. Concurrent measurements disturb each other's results. */
final class Timing {
    private static final double NANOS_PER_MICRO = 1_000.0;
    private static final int GC_ROUNDS = 3;
    private static volatile Object sink;

    private Timing() {}

    /** Returns the mean time of {@code count} runs of a task, in microseconds. */
    static double meanMicros(int count, Task task) {
        final long start = System.nanoTime();
        for (int index = 0; index < count; index++) {
            sink = task.run(index);
        }
        return (System.nanoTime() - start) / NANOS_PER_MICRO / count;
    }

    /** Returns the growth of the used heap, in bytes, while the result of a task is reachable. */
    static double retainedBytes(Task task) {
        final long before = usedHeapBytes();
        final Object result = task.run(0);
        final long after = usedHeapBytes();
        sink = result;
        return Math.max(0, after - before);
    }

    private static long usedHeapBytes() {
        for (int index = 0; index < GC_ROUNDS; index++) {
            System.gc();
        }
        final Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /** A task to measure. Its result is stored, so that the JIT compiler cannot eliminate the task as dead code. */
    interface Task {
        Object run(int index);
    }
}
