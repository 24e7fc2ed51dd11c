package org.masticpaddle.claim;

/** Result of reading an idempotency key from the headers of a request. Immutable. */
public sealed interface KeyParseResult {
    /**
     * The headers name a key.
     *
     * @param key the key
     */
    record Accepted(IdempotencyKey key) implements KeyParseResult {}

    /**
     * The headers name no usable key.
     *
     * @param reason the reason
     */
    record Rejected(KeyRejection reason) implements KeyParseResult {}
}
