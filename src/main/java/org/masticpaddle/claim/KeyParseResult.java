package org.masticpaddle.claim;

/** Result of reading an idempotency key from the headers of a request. Immutable. */
public sealed interface KeyParseResult {
    /**
     * The headers contain a valid key.
     *
     * @param key the parsed key
     */
    record Accepted(IdempotencyKey key) implements KeyParseResult {}

    /**
     * The headers contain no valid key.
     *
     * @param reason the reason for the rejection
     */
    record Rejected(KeyRejection reason) implements KeyParseResult {}
}
