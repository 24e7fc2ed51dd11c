package org.masticpaddle.wire;

import java.util.Map;

/**
 * Order from an entry to a sidecar to run one attempt of a request. Immutable, but for the body's bytes.
 *
 * @param requestId identifier of the request, chosen by the entry
 * @param attemptId identifier of this attempt; a sidecar runs it at most once
 * @param incarnation incarnation of the sidecar that alone may run the attempt, 0 if any may
 * @param organisation organisation that pays
 * @param rank rank of the request
 * @param model model, empty for a plain service
 * @param version version of the model, empty for a plain service
 * @param method HTTP method for the upstream
 * @param path path and query for the upstream
 * @param headers headers for the upstream
 * @param body body for the upstream
 * @param idempotent whether the request may run more than once
 * @param timeoutMillis milliseconds left until the caller's deadline
 * @param resumeOffset bytes of the answer that the entry already has
 * @param identity identity under which the request is billed
 * @param pricing prices that the charge is computed with
 * @param documentOffset offset of the routing document that the entry has in effect
 */
public record Dispatch(
        String requestId,
        String attemptId,
        long incarnation,
        String organisation,
        Rank rank,
        String model,
        String version,
        String method,
        String path,
        Map<String, String> headers,
        byte[] body,
        boolean idempotent,
        long timeoutMillis,
        long resumeOffset,
        String identity,
        Pricing pricing,
        long documentOffset) {
    /**
     * Returns the same attempt for a stream that broke off.
     *
     * @param offset bytes of the answer that the entry already has
     * @return the order
     */
    public Dispatch resumedFrom(long offset) {
        return new Dispatch(
                requestId,
                attemptId,
                incarnation,
                organisation,
                rank,
                model,
                version,
                method,
                path,
                headers,
                body,
                idempotent,
                timeoutMillis,
                offset,
                identity,
                pricing,
                documentOffset);
    }

    /**
     * Prices of one attempt in millionths of the currency unit. Immutable.
     *
     * @param promptMicros price of 1,000 prompt tokens
     * @param outputMicros price of 1,000 generated tokens
     * @param callMicros price of the call itself
     * @param draft whether the answer is a draft of a cascade, whose price is not billed unless it is delivered
     */
    public record Pricing(long promptMicros, long outputMicros, long callMicros, boolean draft) {
        /**
         * Computes the price of an answer.
         *
         * @param promptTokens tokens of the prompt
         * @param outputTokens generated tokens
         * @return price, rounded up to a whole millionth
         */
        public long priceMicros(int promptTokens, int outputTokens) {
            return callMicros + Math.floorDiv(promptTokens * promptMicros + outputTokens * outputMicros + 999, 1000);
        }
    }
}
