package org.masticpaddle.control;

import java.util.Objects;

/**
 * Record of a keyed stream. Immutable by convention: the bytes of the value must not be changed.
 *
 * @param offset offset in the stream
 * @param key key of the record
 * @param value value of the key, empty in a tombstone
 */
public record KeyedRecord(long offset, String key, byte[] value) {
    /** Rejects null arguments. */
    public KeyedRecord {
        Objects.requireNonNull(key, "key is null");
        Objects.requireNonNull(value, "value is null");
    }

    /**
     * Returns whether the record is a tombstone, which removes its key.
     *
     * @return {@code true} if the key has no value from this offset on
     */
    public boolean tombstone() {
        return value.length == 0;
    }
}
