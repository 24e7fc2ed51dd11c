package org.masticpaddle.scale;

/** Measures time and memory of a piece of work. Thread-safe, having no state. */
final class Timing {
    private static final double NANOS_PER_MICRO = 1_000.0;
    private static final int COLLECTIONS = 3;
    private static volatile Object sink;

    private Timing() {}

    /** Microseconds that one of {@code count} runs takes. */
    static double microsEach(int count, Work work) {
        final long start = System.nanoTime();
        for (int index = 0; index < count; index++) {
            sink = work.run(index);
        }
        return (System.nanoTime() - start) / NANOS_PER_MICRO / count;
    }

    /** Bytes that the result of the work keeps reachable. */
    static double retainedBytes(Work work) {
        final long before = used();
        final Object kept = work.run(0);
        final long after = used();
        sink = kept;
        return Math.max(0, after - before);
    }

    private static long used() {
        for (int index = 0; index < COLLECTIONS; index++) {
            System.gc();
        }
        final Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /** A piece of work whose result is kept, so that the compiler cannot remove it. */
    interface Work {
        Object run(int index);
    }
}
