package org.masticpaddle.wire;

import java.util.List;

/**
 * Message from an entry to a sidecar that the charges of some attempts have been appended to the log. Immutable.
 *
 * @param attemptIds identifiers of the attempts
 */
public record ChargeAcknowledgement(List<String> attemptIds) {
    /** Copies the identifiers. */
    public ChargeAcknowledgement {
        attemptIds = List.copyOf(attemptIds);
    }
}
