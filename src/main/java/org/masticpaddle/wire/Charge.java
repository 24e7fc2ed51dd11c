package org.masticpaddle.wire;

/**
 * Cost of one answered request. Immutable.
 *
 * @param identity identity of the request; charges with the same identity are one charge
 * @param organisation organisation that pays
 * @param model model that answered, or the name of the plain service
 * @param version version that answered, empty for a plain service
 * @param promptTokens tokens of the prompt
 * @param outputTokens tokens of the answer
 * @param billedMicros price billed to the organisation, in millionths of the currency unit
 * @param internalMicros price of discarded drafts, in millionths of the currency unit
 * @param attemptId attempt that answered
 */
public record Charge(
        String identity,
        String organisation,
        String model,
        String version,
        int promptTokens,
        int outputTokens,
        long billedMicros,
        long internalMicros,
        String attemptId) {}
