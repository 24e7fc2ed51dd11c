package org.masticpaddle.wire;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.xnio.XnioIoThread;

/**
 * Timeout of an event that an I/O thread reports.
 *
 * <p>Invariant: time in which the thread itself was late does not count, because the process was suspended or had too much to
 * do; the event may have happened meanwhile, so that the thread gets another turn to report it. Stateless and thread-safe.
 */
final class LoopTimeout {
    /** Lateness of a timer beyond which its thread may not have reported events that happened in time. */
    private static final long MAX_LATENESS_NANOS = 100_000_000L;
    /** Number of extensions after which a timeout holds even if the thread is late again. */
    private static final int MAX_EXTENSIONS = 3;

    private LoopTimeout() {}

    /**
     * Starts a timeout.
     *
     * @param thread thread that reports the event and runs the action
     * @param timeout time to wait
     * @param happened returns whether the event has happened
     * @param action action that runs once, unless the event has happened by then
     */
    static void start(XnioIoThread thread, Duration timeout, BooleanSupplier happened, Runnable action) {
        start(thread, timeout, happened, action, MAX_EXTENSIONS);
    }

    private static void start(
            XnioIoThread thread, Duration timeout, BooleanSupplier happened, Runnable action, int extensions) {
        final long dueNanos = System.nanoTime() + timeout.toNanos();
        thread.executeAfter(
                () -> {
                    if (happened.getAsBoolean()) {
                        return;
                    }
                    if (extensions > 0 && System.nanoTime() - dueNanos > MAX_LATENESS_NANOS) {
                        start(thread, timeout, happened, action, extensions - 1);
                    } else {
                        action.run();
                    }
                },
                timeout.toMillis(),
                TimeUnit.MILLISECONDS);
    }
}
