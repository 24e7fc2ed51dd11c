package org.masticpaddle.wire;

import java.util.List;

/**
 * Message from an entry to a sidecar: the charges of these attempts are on the log. Immutable.
 *
 * @param attemptIds attempt identifiers
 */
public record Settled(List<String> attemptIds) {
    /** Copies the identities. */
    public Settled {
        attemptIds = List.copyOf(attemptIds);
    }
}
