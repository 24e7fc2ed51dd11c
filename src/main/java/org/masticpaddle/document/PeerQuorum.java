package org.masticpaddle.document;

import java.util.Optional;

/**
 * Responses of the entries that a starting process has queried. Only entries with a document in effect count towards
 * the majority, since an entry that is starting itself has no edits yet. Immutable and thread-safe.
 *
 * @param peerCount number of entries queried
 * @param responseCount number of them that have returned a document
 * @param newestResponse response with the highest offset, empty if there is none
 */
record PeerQuorum(int peerCount, int responseCount, Optional<ConfigurationResponse> newestResponse) {
    static PeerQuorum of(int peerCount) {
        return new PeerQuorum(peerCount, 0, Optional.empty());
    }

    PeerQuorum with(Optional<ConfigurationResponse> response) {
        if (response.isEmpty()) {
            return this;
        }
        final boolean higher = newestResponse.isEmpty()
                || response.get().changes().upTo()
                        > newestResponse.get().changes().upTo();
        return new PeerQuorum(peerCount, responseCount + 1, higher ? response : newestResponse);
    }

    /** Returns the newest response once more than half of the entries have returned a document, empty before. */
    Optional<ConfigurationResponse> majorityResponse() {
        return responseCount * 2 > peerCount ? newestResponse : Optional.empty();
    }
}
