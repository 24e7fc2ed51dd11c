package org.masticpaddle.document;

import java.net.URI;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Client for the configuration that other entries have in effect. Thread-safe. */
@FunctionalInterface
public interface ConfigurationPeer {
    /** Path of the HTTP binding; the query parameter {@code after} holds the offset. */
    String PATH = "/internal/configuration";

    /**
     * Requests the changes since an offset from an entry.
     *
     * @param entry scheme, host and port of the entry
     * @param after offset up to which this process has applied the log, 0 if it has no state
     * @return the changes, empty if the entry has no document in effect; fails with {@link PeerException}
     */
    CompletableFuture<Optional<ConfigurationResponse>> fetch(URI entry, long after);
}
