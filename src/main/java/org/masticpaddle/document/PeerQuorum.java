package org.masticpaddle.document;

import java.util.Optional;

/**
 * Answers of the entries that a starting process asked. Only entries with a document in effect count: one that is
 * starting itself knows of no edit. Immutable and thread-safe.
 *
 * @param known number of entries asked
 * @param answered number of them that have a document
 * @param best answer with the highest offset
 */
record PeerQuorum(int known, int answered, Optional<ConfigurationResponse> best) {
    static PeerQuorum of(int known) {
        return new PeerQuorum(known, 0, Optional.empty());
    }

    PeerQuorum with(Optional<ConfigurationResponse> answer) {
        if (answer.isEmpty()) {
            return this;
        }
        final boolean higher = best.isEmpty()
                || answer.get().changes().upTo() > best.get().changes().upTo();
        return new PeerQuorum(known, answered + 1, higher ? answer : best);
    }

    /** Returns the document to take, empty until more than half of the entries have answered. */
    Optional<ConfigurationResponse> decided() {
        return answered * 2 > known ? best : Optional.empty();
    }
}
