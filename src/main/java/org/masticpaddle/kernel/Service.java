package org.masticpaddle.kernel;

/**
 * Component of a process with a lifecycle. The kernel calls {@link #start()} and {@link #stop()} from one thread, each
 * at most once. Implementations document the thread safety of their other methods.
 */
public interface Service {
    /** Acquires sockets, threads and timers. If it throws, it must have released all of them. */
    void start();

    /** Stops accepting work, completes the accepted work, and releases sockets, threads and timers. */
    void stop();
}
