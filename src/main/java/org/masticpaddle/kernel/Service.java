package org.masticpaddle.kernel;

/**
 * A part of the daemon with a lifecycle. The kernel calls {@link #start()} and {@link #stop()} from one thread, at most
 * once each; an implementation states its own thread safety for all other methods.
 */
public interface Service {
    /** Acquires sockets, threads and timers. A service that fails here leaves nothing running. */
    void start();

    /** Stops accepting work, finishes what was accepted, and releases sockets, threads and timers. */
    void stop();
}
