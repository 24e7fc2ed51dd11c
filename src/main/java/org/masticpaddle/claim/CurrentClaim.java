package org.masticpaddle.claim;

import java.util.Optional;

/**
 * Claim that holds a key, with its outcome if that was read. Immutable.
 *
 * @param claim the claim that holds the key
 * @param outcome the recorded outcome, empty if none has been read
 */
public record CurrentClaim(ClaimRecord.Claim claim, Optional<ClaimRecord.Outcome> outcome) {}
