package org.masticpaddle.wire;

import java.util.concurrent.CompletableFuture;

/** Handle of a request whose response is streamed. Thread-safe. */
public interface StreamHandle {
    /**
     * Returns the completion of the request.
     *
     * @return completes after the last byte of the response; fails with {@link HttpRequestException}
     */
    CompletableFuture<Void> finished();

    /** Closes the connection, which makes the request fail. Does nothing if the request has already completed. */
    void cancel();
}
