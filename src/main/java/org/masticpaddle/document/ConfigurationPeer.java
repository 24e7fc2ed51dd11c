package org.masticpaddle.document;

import java.net.URI;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Access to the configuration that another entry has in effect. Thread-safe. */
@FunctionalInterface
public interface ConfigurationPeer {
    /** Path of the HTTP binding; the query parameter {@code after} holds the offset. */
    String PATH = "/internal/configuration";

    /**
     * Asks an entry for what changed.
     *
     * @param entry scheme, host and port of the entry
     * @param after offset that the asker has folded up to, 0 for none
     * @return the answer, empty if the entry has no document in effect; fails with {@link PeerException}
     */
    CompletableFuture<Optional<ConfigurationResponse>> fetch(URI entry, long after);
}
