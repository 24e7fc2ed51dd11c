package org.masticpaddle.wire;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Timeout of an event that an I/O thread reports.
 *
 * <p>Invariant: time in which the thread itself was late does not count, because the process was suspended or had too much to
 * do; the event may have happened meanwhile, so that the thread gets another turn to report it. Thread-safe.
 */
final class LoopTimeout {
    /** Lateness of a timer beyond which its thread may not have reported events that happened in time. */
    private static final long MAX_LATENESS_NANOS = 100_000_000L;
    /** Number of extensions after which a timeout holds even if the thread is late again. */
    private static final int MAX_EXTENSIONS = 3;

    private final XnioIoThread thread;
    private final Duration timeout;
    private final BooleanSupplier happened;
    private final Runnable action;
    private volatile XnioExecutor.Key timer;

    private LoopTimeout(XnioIoThread thread, Duration timeout, BooleanSupplier happened, Runnable action) {
        this.thread = thread;
        this.timeout = timeout;
        this.happened = happened;
        this.action = action;
    }

    /**
     * Starts a timeout.
     *
     * @param thread thread that reports the event and runs the action
     * @param timeout time to wait
     * @param happened returns whether the event has happened
     * @param action action that runs once, unless the event has happened by then
     * @return the timeout, which keeps all arguments until it is due or removed
     */
    static LoopTimeout start(XnioIoThread thread, Duration timeout, BooleanSupplier happened, Runnable action) {
        final LoopTimeout started = new LoopTimeout(thread, timeout, happened, action);
        started.arm(MAX_EXTENSIONS);
        return started;
    }

    /** Removes the timer of an event that has happened. */
    void remove() {
        final XnioExecutor.Key armed = timer;
        if (armed != null) {
            armed.remove();
        }
    }

    private void arm(int extensions) {
        final long dueNanos = System.nanoTime() + timeout.toNanos();
        timer = thread.executeAfter(() -> onDue(dueNanos, extensions), timeout.toMillis(), TimeUnit.MILLISECONDS);
        if (happened.getAsBoolean()) {
            remove();
        }
    }

    private void onDue(long dueNanos, int extensions) {
        if (happened.getAsBoolean()) {
            return;
        }
        if (extensions > 0 && System.nanoTime() - dueNanos > MAX_LATENESS_NANOS) {
            arm(extensions - 1);
        } else {
            action.run();
        }
    }
}
