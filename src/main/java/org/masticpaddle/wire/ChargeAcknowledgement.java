package org.masticpaddle.wire;

import java.util.List;

/**
 * Message from an entry to a sidecar: the charges of these attempts are on the log. Immutable.
 *
 * @param attemptIds attempt identifiers
 */
public record ChargeAcknowledgement(List<String> attemptIds) {
    /** Copies the identities. */
    public ChargeAcknowledgement {
        attemptIds = List.copyOf(attemptIds);
    }
}
