package org.masticpaddle.document;

import java.net.URI;
import java.util.Optional;

import org.masticpaddle.platform.LogPage;

/** Completion of an asynchronous request of the {@link ConfigurationReader}. Immutable and thread-safe. */
sealed interface ConfigurationEvent {
    /** A read of the log completed; {@code page} is empty and {@code error} set if it failed. */
    record PageRead(long requestId, Optional<LogPage> page, String error) implements ConfigurationEvent {}

    /** A request to another entry completed; {@code error} is empty unless it failed. */
    record PeerResponded(long requestId, URI peer, Optional<ConfigurationResponse> response, String error)
            implements ConfigurationEvent {}

    /** The append of a snapshot failed or may have failed. */
    record SnapshotFailed(String error) implements ConfigurationEvent {}
}
