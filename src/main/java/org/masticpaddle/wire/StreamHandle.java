package org.masticpaddle.wire;

import java.util.concurrent.CompletableFuture;

/** Handle of a streamed call. Thread-safe. */
public interface StreamHandle {
    /**
     * Returns the end of the call.
     *
     * @return completes after the last byte; fails with {@link HttpRequestException}
     */
    CompletableFuture<Void> finished();

    /** Closes the connection. The call then fails unless it has already ended. */
    void cancel();
}
