package org.masticpaddle.platform;

import java.util.concurrent.CompletableFuture;

/** The platform's versioned, eventually consistent list of live and draining instances. Thread-safe. */
public interface InstanceList {
    /**
     * Reads the changes since a version of the list.
     *
     * @param afterVersion last version that was received, 0 if none was
     * @return the changes; completes exceptionally with {@link PlatformException}
     */
    CompletableFuture<InstanceChanges> changes(long afterVersion);
}
