package org.masticpaddle.platform;

import java.util.concurrent.CompletableFuture;

/** The platform's lagging list of live and leaving instances. Thread-safe. */
public interface InstanceList {
    /**
     * Reads what changed after a version of the list.
     *
     * @param afterVersion version already known, 0 for none
     * @return the changes; fails with {@link PlatformException}
     */
    CompletableFuture<InstanceChanges> changes(long afterVersion);
}
