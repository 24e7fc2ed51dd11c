package org.masticpaddle.platform;

import java.util.concurrent.CompletableFuture;

/** The platform's rate-limited store of model weights. Thread-safe. */
public interface WeightStore {
    /**
     * Asks for a place in the queue of loads. A load that starts without one slows all others.
     *
     * @param version version to load, {@code model/version}
     * @param requester instance that will load it
     * @return milliseconds to wait before the load may start, 0 for now; fails with {@link PlatformException}
     */
    CompletableFuture<Long> reserve(String version, String requester);
}
