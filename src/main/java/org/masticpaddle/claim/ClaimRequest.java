package org.masticpaddle.claim;

import java.util.Objects;

/**
 * Request to claim the key of a non-idempotent request for one sidecar. Immutable and thread-safe.
 *
 * @param key key of the request
 * @param bodyHash hash of the request's method, path and body
 * @param sidecar instance that runs the request if the claim is won
 * @param incarnation incarnation of that instance
 */
public record ClaimRequest(IdempotencyKey key, String bodyHash, String sidecar, long incarnation) {
    /** Checks the arguments. */
    public ClaimRequest {
        Objects.requireNonNull(key, "key is null");
        Objects.requireNonNull(bodyHash, "bodyHash is null");
        Objects.requireNonNull(sidecar, "sidecar is null");
    }

    ClaimRecord.Claim toClaim(String attemptId, long round) {
        return new ClaimRecord.Claim(key, bodyHash, attemptId, round, sidecar, incarnation);
    }
}
