package org.masticpaddle.claim;

/** Reason why an idempotency key is refused before any claim is made. */
public enum KeyRejection {
    /** The key is empty, longer than 255 characters or holds a control character. */
    MALFORMED_KEY("key_malformed", "the idempotency key must have 1 to 255 printable characters"),
    /** The key is no UUID of version 7 and no creation time was given. */
    MISSING_TIME("key_time_missing", "Idempotency-Key-Created is needed unless the key is a UUID of version 7"),
    /** The creation time is not in the format of RFC 3339. */
    MALFORMED_TIME("key_time_malformed", "Idempotency-Key-Created is not a time in the format of RFC 3339"),
    /** The key is older than the key lifetime, so its claim may have left the log. */
    TOO_OLD("key_too_old", "the idempotency key is older than the key lifetime"),
    /** The key is created more than a minute in the future. */
    TOO_FAR_AHEAD("key_in_future", "the creation time of the idempotency key is more than a minute in the future");

    private final String type;
    private final String message;

    KeyRejection(String type, String message) {
        this.type = type;
        this.message = message;
    }

    /**
     * Returns the machine-readable name for error bodies.
     *
     * @return lower-case name
     */
    public String type() {
        return type;
    }

    /**
     * Returns the explanation for the caller.
     *
     * @return one sentence
     */
    public String message() {
        return message;
    }
}
