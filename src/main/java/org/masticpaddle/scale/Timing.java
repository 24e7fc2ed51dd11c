package org.masticpaddle.scale;

/** Measures time and memory of a piece of work. Thread-safe, having no state. */
final class Timing {
    private static final double NANOS_PER_MICRO = 1_000.0;
    private static final int GC_ROUNDS = 3;
    private static volatile Object sink;

    private Timing() {}

    /** Microseconds that one of {@code count} runs takes. */
    static double meanMicros(int count, Task work) {
        final long start = System.nanoTime();
        for (int index = 0; index < count; index++) {
            sink = work.run(index);
        }
        return (System.nanoTime() - start) / NANOS_PER_MICRO / count;
    }

    /** Bytes that the result of the work keeps reachable. */
    static double retainedBytes(Task work) {
        final long before = usedHeapBytes();
        final Object kept = work.run(0);
        final long after = usedHeapBytes();
        sink = kept;
        return Math.max(0, after - before);
    }

    private static long usedHeapBytes() {
        for (int index = 0; index < GC_ROUNDS; index++) {
            System.gc();
        }
        final Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /** A piece of work whose result is kept, so that the compiler cannot remove it. */
    interface Task {
        Object run(int index);
    }
}
