package org.masticpaddle.wire;

import java.util.concurrent.CompletableFuture;

/** Handle of a request whose response is streamed. Thread-safe, except {@link #pause()} and {@link #resume()}. */
public interface StreamHandle {
    /**
     * Returns the completion of the request.
     *
     * @return completes after the last byte of the response; fails with {@link HttpRequestException}
     */
    CompletableFuture<Void> finished();

    /** Closes the connection, which makes the request fail. Does nothing if the request has already completed. */
    void cancel();

    /**
     * Stops reading the response, so that the peer has to wait once the buffers of the operating system are full. Called on the I/O
     * thread of the listener; has no effect on a response that is paused or has ended.
     */
    void pause();

    /** Reads the response on. Called on the I/O thread of the listener; has no effect on a response that is not paused. */
    void resume();
}
