package org.masticpaddle.wire;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

import org.masticpaddle.kernel.Scheduler;
import org.masticpaddle.kernel.Service;
import org.masticpaddle.kernel.SuspendAwareClock;
import org.xnio.ChannelPipe;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;
import org.xnio.nio.NioXnioProvider;

/**
 * Single I/O thread shared by a server, a client and the state between them.
 *
 * <p>Invariants: tasks and timers run on this thread in the order in which they become due, so state that only they
 * access needs no locks. The thread keeps the process alive until {@link #stop()}. Thread-safe.
 */
public final class EventLoop implements Service, Scheduler {
    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final SuspendAwareClock clock = new SuspendAwareClock(System::nanoTime, System::currentTimeMillis);

    /**
     * Creates the loop and starts its thread.
     *
     * @param name prefix of the thread's name
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
            throw new IllegalStateException("cannot start the I/O thread", e);
        }
        thread = worker.getIoThread();
    }

    /** Creates the provider directly, because service discovery would open every library on the class path. */
    static Xnio transport() {
        return new NioXnioProvider().getInstance();
    }

    @Override
    public void start() {
        // The constructor has started the thread, since servers and clients may use its worker before this method is
        // called.
    }

    @Override
    public void stop() {
        worker.shutdownNow();
    }

    /**
     * Runs a task on the loop's thread; at once if called on that thread.
     *
     * @param task task that must not block
     */
    public void execute(Runnable task) {
        if (Thread.currentThread() == thread) {
            task.run();
        } else {
            thread.execute(task);
        }
    }

    /**
     * Queues a task to run on the loop's thread after the events that are already due.
     *
     * @param task task that must not block
     */
    public void defer(Runnable task) {
        thread.execute(task);
    }

    /**
     * Runs a task on the loop's thread after it has read all connections that are readable when it is called, while tasks of
     * {@link #execute} and due timers run before.
     *
     * @param task task that must not block
     */
    public void executeAfterReads(Runnable task) {
        thread.execute(() -> {
            try {
                // The source is readable from the next selection on, as the connections are.
                final ChannelPipe<StreamSourceChannel, StreamSinkChannel> pipe = thread.createHalfDuplexPipe();
                pipe.getLeftSide().getReadSetter().set(source -> {
                    IoUtils.safeClose(source);
                    thread.execute(task);
                });
                pipe.getLeftSide().resumeReads();
                IoUtils.safeClose(pipe.getRightSide());
            } catch (IOException e) {
                task.run();
            }
        });
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
