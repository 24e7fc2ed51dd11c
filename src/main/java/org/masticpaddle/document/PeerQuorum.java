package org.masticpaddle.document;

import java.util.Optional;

/**
 * Responses of the entries that a starting process has queried. Only entries with a document in effect count towards
 * the majority, since an entry that is starting itself has no edits yet. Immutable and thread-safe.
 *
 * @param known number of entries asked
 * @param answered number of them that have a document
 * @param best response with the highest offset, empty if there is none
 */
record PeerQuorum(int known, int answered, Optional<ConfigurationResponse> best) {
    static PeerQuorum of(int known) {
        return new PeerQuorum(known, 0, Optional.empty());
    }

    PeerQuorum with(Optional<ConfigurationResponse> response) {
        if (response.isEmpty()) {
            return this;
        }
        final boolean higher = best.isEmpty()
                || response.get().changes().upTo() > best.get().changes().upTo();
        return new PeerQuorum(known, answered + 1, higher ? response : best);
    }

    /** Returns the newest response once more than half of the entries have returned a document, empty before. */
    Optional<ConfigurationResponse> decision() {
        return answered * 2 > known ? best : Optional.empty();
    }
}
