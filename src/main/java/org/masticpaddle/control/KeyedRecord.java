package org.masticpaddle.control;

import java.util.Objects;

/**
 * Record of a keyed stream. Immutable by convention: the bytes of the value must not be changed.
 *
 * @param offset offset in the stream, or {@link #UNKNOWN_OFFSET} of a listed record that cannot be read
 * @param key key of the record
 * @param value value of the key, empty in a tombstone
 */
public record KeyedRecord(long offset, String key, byte[] value) {
    /** Offset of a record that is listed but cannot be read; lower than all offsets of a stream. */
    public static final long UNKNOWN_OFFSET = -1;

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
