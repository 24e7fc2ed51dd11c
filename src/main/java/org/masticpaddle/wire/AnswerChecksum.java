package org.masticpaddle.wire;

import java.util.zip.CRC32C;

/**
 * CRC-32C checksum of a whole answer, computed incrementally. How the bytes are split does not affect it. Not
 * thread-safe.
 */
public final class AnswerChecksum {
    private final CRC32C checksum = new CRC32C();
    private long length;

    /** Creates the checksum of an empty answer. */
    public AnswerChecksum() {}

    /**
     * Appends bytes to the answer.
     *
     * @param bytes next bytes of the answer, in order
     */
    public void add(byte[] bytes) {
        checksum.update(bytes);
        length += bytes.length;
    }

    /**
     * Returns the checksum of all bytes added so far.
     *
     * @return CRC-32C as an unsigned 32-bit number
     */
    public long value() {
        return checksum.getValue();
    }

    /**
     * Returns the length of the answer so far.
     *
     * @return number of bytes added
     */
    public long length() {
        return length;
    }
}
