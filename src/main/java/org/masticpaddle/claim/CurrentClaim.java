package org.masticpaddle.claim;

import java.util.Optional;

/**
 * Claim that holds a key, with its outcome if that was read. Immutable.
 *
 * @param claim the claim
 * @param outcome the outcome, if known
 */
public record CurrentClaim(ClaimRecord.Claim claim, Optional<ClaimRecord.Outcome> outcome) {}
