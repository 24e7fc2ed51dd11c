package org.masticpaddle.wire;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

import org.masticpaddle.kernel.Scheduler;
import org.masticpaddle.kernel.Service;
import org.masticpaddle.kernel.SuspendAwareClock;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.nio.NioXnioProvider;

/**
 * One input/output thread that serves a server, a client and the state between them.
 *
 * <p>Invariants: tasks and timers run on the one thread, in the order in which they become due, so that state that only
 * they touch needs no locks. The thread keeps the process alive until {@link #stop()}. All methods are safe for use by any thread.
 */
public final class EventLoop implements Service, Scheduler {
    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final SuspendAwareClock clock = new SuspendAwareClock(System::nanoTime, System::currentTimeMillis);

    /**
     * Creates the loop and its thread.
     *
     * @param name name of the thread
     */
    public EventLoop(String name) {
        try {
            worker = transport()
                    .createWorker(OptionMap.builder()
                            .set(Options.WORKER_IO_THREADS, 1)
                            .set(Options.WORKER_TASK_CORE_THREADS, 1)
                            .set(Options.WORKER_TASK_MAX_THREADS, 1)
                            .set(Options.TCP_NODELAY, true)
                            .set(Options.WORKER_NAME, name)
                            .getMap());
        } catch (IOException e) {
            throw new IllegalStateException("cannot start the input/output thread", e);
        }
        thread = worker.getIoThread();
    }

    /** Names the transport, since a look-up of providers opens every library on the class path. */
    static Xnio transport() {
        return new NioXnioProvider().getInstance();
    }

    @Override
    public void start() {
        // The thread runs since the construction, so that servers and clients can be wired to it.
    }

    @Override
    public void stop() {
        worker.shutdownNow();
    }

    /**
     * Runs a task on the loop's thread.
     *
     * @param task the task
     */
    public void execute(Runnable task) {
        if (Thread.currentThread() == thread) {
            task.run();
        } else {
            thread.execute(task);
        }
    }

    /**
     * Runs a task on the loop's thread after the events that are due now.
     *
     * @param task the task
     */
    public void defer(Runnable task) {
        thread.execute(task);
    }

    @Override
    public long nanos() {
        return clock.nanos();
    }

    @Override
    public Timer schedule(long millis, Runnable task) {
        final XnioExecutor.Key key = thread.executeAfter(task, Math.max(0, millis), TimeUnit.MILLISECONDS);
        return key::remove;
    }

    XnioWorker worker() {
        return worker;
    }
}
