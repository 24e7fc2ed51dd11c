package org.masticpaddle.wire;

import java.util.Map;

/**
 * Message from an entry to a sidecar to run one attempt of a request. Immutable, except for the bytes of the body.
 *
 * @param requestId identifier of the request, chosen by the entry
 * @param attemptId identifier of this attempt; a sidecar runs it at most once
 * @param incarnation only sidecar incarnation that may run the attempt, 0 if any may
 * @param organisation organisation that pays
 * @param rank rank of the request
 * @param model name of the model, empty for a plain service
 * @param version version of the model, empty for a plain service
 * @param method HTTP method of the request to the upstream
 * @param path path and query of the request to the upstream
 * @param headers headers of the request to the upstream
 * @param body body of the request to the upstream
 * @param idempotent whether the request may run more than once
 * @param timeoutMillis milliseconds left until the caller's deadline
 * @param resumeOffset number of answer bytes that the entry has already received, 0 for a new attempt
 * @param identity deduplication key under which the request is billed
 * @param pricing prices from which the charge is computed
 * @param documentOffset log offset of the routing document in effect at the entry
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
     * Returns a copy that resumes the answer stream of this attempt after a lost connection.
     *
     * @param offset number of answer bytes that the entry has already received
     * @return the same attempt with this offset
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
     * Prices of one attempt, in millionths of the currency unit. Immutable.
     *
     * @param promptMicros price of 1,000 prompt tokens
     * @param outputMicros price of 1,000 generated tokens
     * @param callMicros fixed price per request
     * @param draft whether the answer is a draft of a cascade, which is billed only if it is delivered
     */
    public record Pricing(long promptMicros, long outputMicros, long callMicros, boolean draft) {
        /**
         * Computes the price of an answer.
         *
         * @param promptTokens number of prompt tokens
         * @param outputTokens number of generated tokens
         * @return price in millionths of the currency unit, rounded up
         */
        public long priceMicros(int promptTokens, int outputTokens) {
            return callMicros + Math.floorDiv(promptTokens * promptMicros + outputTokens * outputMicros + 999, 1000);
        }
    }
}
