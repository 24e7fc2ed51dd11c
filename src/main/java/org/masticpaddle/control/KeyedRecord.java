package org.masticpaddle.control;

import java.util.Objects;

/**
 * A record of a keyed stream. Immutable, but for the value's bytes, which nobody changes.
 *
 * @param offset position in the stream
 * @param key the key
 * @param value the value; empty if the key was dropped
 */
public record KeyedRecord(long offset, String key, byte[] value) {
    /** Checks the arguments. */
    public KeyedRecord {
        Objects.requireNonNull(key, "key is null");
        Objects.requireNonNull(value, "value is null");
    }

    /**
     * Tells whether the record drops its key.
     *
     * @return {@code true} if the key has no value from here on
     */
    public boolean tombstone() {
        return value.length == 0;
    }
}
