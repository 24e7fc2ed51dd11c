package org.masticpaddle.routing;

/** Method by which the context of a session is transferred to another upstream. */
public enum SessionTransfer {
    /** Export the KV cache from the old upstream and import it. */
    TRANSFER_CACHE,
    /** Prefill the context again at the target. */
    PREFILL;

    /**
     * Chooses the faster method. A KV cache can only be imported by the version that produced it.
     *
     * @param costs costs of both methods
     * @return the faster method; {@link #PREFILL} if both take the same time
     */
    public static SessionTransfer choose(Costs costs) {
        if (!costs.sameVersion() || !costs.exportable() || costs.bytesPerMilli() <= 0) {
            return PREFILL;
        }
        final double transferMillis =
                costs.setupMillis() + costs.tokens() * costs.bytesPerToken() / costs.bytesPerMilli();
        final double prefillMillis = costs.tokens() * (1 - costs.expectedHitRatio()) * costs.prefillMillisPerToken();
        return transferMillis < prefillMillis ? TRANSFER_CACHE : PREFILL;
    }

    /**
     * Costs of a transfer. Immutable.
     *
     * @param sameVersion whether the target runs the version that produced the cache
     * @param exportable whether the old upstream is reachable and still holds the cache
     * @param tokens length of the context in tokens
     * @param bytesPerToken size of the cache per token in bytes
     * @param bytesPerMilli transfer rate between the two upstreams in bytes per millisecond
     * @param setupMillis time of the export and import requests without the transfer, in milliseconds
     * @param prefillMillisPerToken prefill time per token at the target, in milliseconds
     * @param expectedHitRatio expected share of the context that the target has cached, between 0 and 1
     */
    public record Costs(
            boolean sameVersion,
            boolean exportable,
            double tokens,
            double bytesPerToken,
            double bytesPerMilli,
            double setupMillis,
            double prefillMillisPerToken,
            double expectedHitRatio) {}
}
