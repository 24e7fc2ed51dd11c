package org.masticpaddle.wire;

/**
 * Cost of one answered request. Immutable.
 *
 * @param identity deduplication key of the request; charges with the same identity count once
 * @param organisation organisation that pays
 * @param model model that answered, or the name of the plain service
 * @param version version that answered, empty for a plain service
 * @param promptTokens number of prompt tokens, 0 for a plain service
 * @param outputTokens number of generated tokens, 0 for a plain service
 * @param billedMicros price billed to the organisation, in millionths of the currency unit
 * @param internalMicros price of a discarded draft, which is not billed, in millionths of the currency unit
 * @param attemptId identifier of the attempt that answered
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
