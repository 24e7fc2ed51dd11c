package org.masticpaddle.routing;

/** How the context of a session reaches another upstream. */
public enum SessionTransfer {
    /** Export the KV cache from the old upstream and import it. */
    MOVE_CACHE,
    /** Process the whole prompt again. */
    PREFILL;

    /**
     * Chooses the cheaper way. A cache only fits the version that made it.
     *
     * @param costs what each way takes
     * @return the way; prefill if both take the same time
     */
    public static SessionTransfer choose(Costs costs) {
        if (!costs.sameVersion() || !costs.exportable() || costs.bytesPerMilli() <= 0) {
            return PREFILL;
        }
        final double move = costs.setupMillis() + costs.tokens() * costs.bytesPerToken() / costs.bytesPerMilli();
        final double prefill = costs.tokens() * (1 - costs.expectedHit()) * costs.prefillMillisPerToken();
        return move < prefill ? MOVE_CACHE : PREFILL;
    }

    /**
     * Figures of a move. Immutable.
     *
     * @param sameVersion whether the target runs the version that made the cache
     * @param exportable whether the old upstream answers and still holds the cache
     * @param tokens tokens of the context
     * @param bytesPerToken size of the cache for a token
     * @param bytesPerMilli transfer rate between the two upstreams in bytes a millisecond
     * @param setupMillis time of export and import calls apart from the transfer
     * @param prefillMillisPerToken time to process one token at the target
     * @param expectedHit part of the context that the target has cached, between 0 and 1
     */
    public record Costs(
            boolean sameVersion,
            boolean exportable,
            double tokens,
            double bytesPerToken,
            double bytesPerMilli,
            double setupMillis,
            double prefillMillisPerToken,
            double expectedHit) {}
}
