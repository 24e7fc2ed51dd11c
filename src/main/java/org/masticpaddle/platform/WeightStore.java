package org.masticpaddle.platform;

import java.util.concurrent.CompletableFuture;

/** The platform's rate-limited store of model weights. Thread-safe. */
public interface WeightStore {
    /**
     * Reserves a slot in the queue of weight loads. A load that starts without a reservation slows down all others.
     *
     * @param version version to load, as {@code model/version}
     * @param requester identifier of the instance that will load the version
     * @return milliseconds to wait before the load may start, 0 if it may start immediately; completes exceptionally
     *     with {@link PlatformException}
     */
    CompletableFuture<Long> reserve(String version, String requester);
}
