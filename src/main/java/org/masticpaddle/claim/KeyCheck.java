package org.masticpaddle.claim;

/** Result of reading an idempotency key from the headers of a request. Immutable. */
public sealed interface KeyCheck {
    /**
     * The headers name a key.
     *
     * @param key the key
     */
    record Accepted(IdempotencyKey key) implements KeyCheck {}

    /**
     * The headers name no usable key.
     *
     * @param reason the reason
     */
    record Refused(KeyRefusal reason) implements KeyCheck {}
}
