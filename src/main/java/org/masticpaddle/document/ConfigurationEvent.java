package org.masticpaddle.document;

import java.net.URI;
import java.util.Optional;

import org.masticpaddle.platform.LogPage;

/** Result of an asynchronous call of the configuration reader. Immutable and thread-safe. */
sealed interface ConfigurationEvent {
    /** A read of the log ended; {@code page} is empty if it failed. */
    record PageRead(long call, Optional<LogPage> page, String error) implements ConfigurationEvent {}

    /** A question to another entry ended; {@code error} is empty unless it failed. */
    record PeerResponded(long call, URI peer, Optional<ConfigurationResponse> answer, String error)
            implements ConfigurationEvent {}

    /** The append of a snapshot failed, or may have. */
    record SnapshotFailed(String error) implements ConfigurationEvent {}
}
